package topazvale.reconcile

import org.slf4j.LoggerFactory
import topazvale.config.Settings
import topazvale.model.Clocks
import topazvale.model.CloudStatus
import topazvale.model.ListedMachine
import topazvale.model.MachineType
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Compares the cloud's machine list, which lags, with the cluster state: takes in machines that were not known, and
 * marks for return those that are of no use any more.
 */
internal class MachineInventory(
    private val settings: Settings,
    private val cluster: ClusterState,
    private val clocks: Clocks,
    private val decisions: ProvisioningLog,
) {
    private val log = LoggerFactory.getLogger(MachineInventory::class.java)
    private val lease = settings.workers.lease

    /**
     * A machine that is missing from the list for longer than this is gone: the list is older than it says at times.
     */
    private val unlistedLimit = settings.cloudLimits.listLag * LIST_LAGS + LIST_MARGIN

    /** Takes in a list that the cloud has just given. */
    fun update(listed: List<ListedMachine>) {
        for (machine in listed) if (!cluster.isReturned(machine.host)) takeListed(machine)
        for (machine in cluster.machines.values) {
            if (!machine.returning) uselessness(machine)?.let { giveBack(machine, it) }
        }
        returnUnreachable()
    }

    private fun takeListed(listed: ListedMachine) {
        if (listed.host !in cluster.machines) {
            log.info("unexpected machine {}", listed.host)
            cluster.addMachines(
                listed.host,
                listed.market,
                clocks.now() - listed.age,
                listOf(listed.host),
                rentedInThisTerm = false,
            )
        }
        val machine = cluster.machines.getValue(listed.host)
        if (machine.endpoint.isEmpty()) machine.endpoint = listed.endpoint
        machine.listedAt = clocks.mark()
        if (listed.status == CloudStatus.FAILED) machine.failed = true
    }

    /** It has failed, never came up, went silent for good, is listed no more, or whatever starts there fails. */
    private fun uselessness(machine: ManagedMachine): ReturnReason? {
        val type = cluster.types[machine.market.type] ?: return null
        val age = clocks.now() - machine.rentedAt
        // A leader that may not answer hears its machines all the same: they are not to go back for its silence.
        val seen = machine.lastReportAt
        return when {
            machine.failed -> ReturnReason.FAILED
            machine.consecutiveFailures >= MachineSnapshots.MAX_CONSECUTIVE_FAILURES -> ReturnReason.FAULTY
            seen != null -> ReturnReason.SILENT.takeIf { seen.elapsedNow() > lease * SILENT_LEASES }
            neverCameUp(machine, type, age) -> ReturnReason.NEVER_UP
            else -> ReturnReason.UNLISTED.takeIf { isUnlisted(machine, age) }
        }
    }

    private fun giveBack(machine: ManagedMachine, reason: ReturnReason) {
        machine.returning = true
        decisions.returnWanted(machine, reason)
    }

    private fun neverCameUp(machine: ManagedMachine, type: MachineType, age: Duration) =
        age > type.bootTime * MachineSnapshots.BOOT_TIMEOUT_FACTOR &&
            machine.knownSince.elapsedNow() > lease * SILENT_LEASES

    private fun isUnlisted(machine: ManagedMachine, age: Duration): Boolean {
        val known = minOf(machine.knownSince.elapsedNow(), age)
        val missing = machine.listedAt?.elapsedNow() ?: Duration.INFINITE
        return known > unlistedLimit && missing > unlistedLimit
    }

    /**
     * A machine whose reports come in and that our answers do not reach is of no use. Where many seem to be so, the
     * fault is more likely ours.
     */
    private fun returnUnreachable() {
        val unreachable = cluster.machines.values.filter { !it.returning && it.responseDelivery.unconfirmedFor > lease }
        if (unreachable.size > cluster.machines.size * MOST_UNREACHABLE) return
        unreachable.forEach { giveBack(it, ReturnReason.DOES_NOT_HEAR) }
    }

    private companion object {
        const val MOST_UNREACHABLE = 0.25
        const val LIST_LAGS = 3
        const val SILENT_LEASES = 1.5
        val LIST_MARGIN = 5.seconds
    }
}
