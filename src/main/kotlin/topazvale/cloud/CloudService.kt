package topazvale.cloud

import topazvale.model.ListedMachine
import topazvale.model.MachineType
import topazvale.model.Market

/** The result of a rental request. */
sealed interface RentalOutcome {
    /** The rented machines, possibly fewer than requested. */
    data class Rented(val hosts: List<String>) : RentalOutcome

    /** This market has no machine available. */
    data object NoCapacity : RentalOutcome

    /** The request was not carried out, for a reason unrelated to capacity. */
    data object Refused : RentalOutcome

    /** No response: the caller repeats the request under the same name. */
    data object Unknown : RentalOutcome
}

/**
 * Rents machines, which the cloud bills by the second. Calls wait for the rate limiter, and their caller may meanwhile
 * have lost the right to make them. Calls that change something therefore have a precondition (see [rent]).
 */
interface CloudService {
    /** Returns the machine types with their current prices, or null if there is no response. */
    suspend fun listMachineTypes(): List<MachineType>?

    /**
     * Rents machines. The [name] identifies the request and is never reused for another one. The [precondition] is
     * evaluated just before the request is sent; a request whose precondition does not hold is not sent.
     */
    suspend fun rent(name: String, market: Market, count: Int, precondition: () -> Boolean): RentalOutcome

    /** Returns machines to the cloud. The result is true once the machines and all tasks on them are gone. */
    suspend fun returnMachines(hosts: List<String>, precondition: () -> Boolean): Boolean

    /** Returns all rented machines as of some seconds ago, or null if the cloud does not respond. */
    suspend fun listMachines(): List<ListedMachine>?
}
