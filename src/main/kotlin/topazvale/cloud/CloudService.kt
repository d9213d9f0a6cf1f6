package topazvale.cloud

import topazvale.model.ListedMachine
import topazvale.model.MachineType
import topazvale.model.Market

/** What became of a rental request. */
sealed interface Rental {
    /** The machines rented, which may be fewer than asked for. */
    data class Rented(val hosts: List<String>) : Rental

    /** None available in this market. */
    data object NoCapacity : Rental

    /** Not carried out, for a reason that says nothing of capacity. */
    data object Refused : Rental

    /** No word: ask again under the same name. */
    data object Unknown : Rental
}

/**
 * Rents machines by the second. What changes something is asked for only while it is [wanted][rent]: calls wait for
 * their turn, and whoever asked may have lost the right to by then.
 */
interface CloudService {
    /** The machine types with their current prices; null without an answer. */
    suspend fun types(): List<MachineType>?

    /**
     * Rents machines under a request name that is never used for anything else. [wanted] is asked again as it leaves.
     */
    suspend fun rent(name: String, market: Market, count: Int, wanted: () -> Boolean): Rental

    /** True once the machines and all that ran on them are gone. */
    suspend fun release(hosts: List<String>, wanted: () -> Boolean): Boolean

    /** All machines, as of some seconds ago; null where the cloud did not answer. */
    suspend fun list(): List<ListedMachine>?
}
