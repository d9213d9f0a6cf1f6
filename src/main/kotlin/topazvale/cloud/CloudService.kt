package topazvale.cloud

import topazvale.model.ListedMachine
import topazvale.model.MachineType
import topazvale.model.Market

sealed interface Rental {
    data class Rented(val hosts: List<String>) : Rental

    data object NoCapacity : Rental

    /** Not carried out, for a reason that says nothing of capacity. */
    data object Refused : Rental

    /** No word: ask again under the same name. */
    data object Unknown : Rental
}

/** Rents machines by the second. */
interface CloudService {
    suspend fun types(): List<MachineType>?

    suspend fun rent(name: String, market: Market, count: Int): Rental

    /** True once the machines and all that ran on them are gone. */
    suspend fun release(hosts: List<String>): Boolean

    /** All machines, as of some seconds ago; null where the cloud did not answer. */
    suspend fun list(): List<ListedMachine>?
}
