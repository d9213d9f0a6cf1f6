package topazvale.cloud

import topazvale.model.ListedMachine
import topazvale.model.MachineType
import topazvale.model.Market

/** What became of a rental request. */
sealed interface RentalOutcome {
    /** The machines rented, which may be fewer than asked for. */
    data class Rented(val hosts: List<String>) : RentalOutcome

    /** None available in this market. */
    data object NoCapacity : RentalOutcome

    /** Not carried out, for a reason that says nothing of capacity. */
    data object Refused : RentalOutcome

    /** No word: ask again under the same name. */
    data object Unknown : RentalOutcome
}

/**
 * Rents machines by the second. What changes something is asked for only while it is [precondition][rent]: calls wait
 * for their turn, and whoever asked may have lost the right to by then.
 */
interface CloudService {
    /** The machine types with their current prices; null without an answer. */
    suspend fun listMachineTypes(): List<MachineType>?

    /**
     * Rents machines under a request name that is never used for anything else. [precondition] is asked again as it
     * leaves.
     */
    suspend fun rent(name: String, market: Market, count: Int, precondition: () -> Boolean): RentalOutcome

    /** True once the machines and all that ran on them are gone. */
    suspend fun returnMachines(hosts: List<String>, precondition: () -> Boolean): Boolean

    /** All machines, as of some seconds ago; null where the cloud did not answer. */
    suspend fun listMachines(): List<ListedMachine>?
}
