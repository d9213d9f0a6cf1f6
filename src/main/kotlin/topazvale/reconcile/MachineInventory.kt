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
 * Compares the cloud's machine list, which lags, with the cluster state: adds unknown machines, and marks unusable
 * machines for return.
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
     * A machine that is missing from the list for longer than this no longer exists. The timeout exceeds the documented
     * lag, because the list is sometimes older than it says.
     */
    private val unlistedTimeout = settings.cloudLimits.listLag * LIST_LAG_FACTOR + LIST_MARGIN

    /** Applies a machine list that the cloud has just returned. */
    fun update(listed: List<ListedMachine>) {
        for (machine in listed) if (!cluster.isReturned(machine.host)) applyListed(machine)
        for (machine in cluster.machines.values) {
            if (!machine.returning) returnReason(machine)?.let { markForReturn(machine, it) }
        }
        returnUnreachable()
    }

    private fun applyListed(listed: ListedMachine) {
        if (listed.host !in cluster.machines) {
            log.info("unexpected machine {} in the cloud's list", listed.host)
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
        if (machine.recordMarket(listed.market)) {
            log.warn("the list gives {} for {}, known as {}", listed.market, machine.host, machine.market)
            ClusterMetrics.marketDisputed()
        }
        if (listed.status == CloudStatus.FAILED) machine.failed = true
    }

    /** Why the machine is unusable; null while it is usable or its type is unknown. */
    private fun returnReason(machine: ManagedMachine): ReturnReason? {
        val type = cluster.types[machine.market.type] ?: return null
        val age = clocks.now() - machine.rentedAt
        // Counts every report, also unanswered ones: a leader that may not respond to reports must not return machines
        // as unresponsive.
        val reportedAt = machine.lastReportAt
        return when {
            machine.failed -> ReturnReason.FAILED
            machine.isMarketDisputed && machine.placements.isEmpty() -> ReturnReason.FAULTY
            machine.consecutiveFailures >= MachineSnapshots.MAX_CONSECUTIVE_FAILURES -> ReturnReason.FAULTY
            reportedAt != null -> ReturnReason.SILENT.takeIf { reportedAt.elapsedNow() > lease * UNRESPONSIVE_LEASES }
            hasBootTimedOut(machine, type, age) -> ReturnReason.NEVER_UP
            else -> ReturnReason.UNLISTED.takeIf { isUnlisted(machine, age) }
        }
    }

    private fun markForReturn(machine: ManagedMachine, reason: ReturnReason) {
        machine.returning = true
        decisions.returnRequested(machine, reason)
    }

    private fun hasBootTimedOut(machine: ManagedMachine, type: MachineType, age: Duration) =
        age > type.bootTime * MachineSnapshots.BOOT_TIMEOUT_FACTOR &&
            machine.knownSince.elapsedNow() > lease * UNRESPONSIVE_LEASES

    private fun isUnlisted(machine: ManagedMachine, age: Duration): Boolean {
        val knownFor = minOf(machine.knownSince.elapsedNow(), age)
        val unlistedFor = machine.listedAt?.elapsedNow() ?: Duration.INFINITE
        return knownFor > unlistedTimeout && unlistedFor > unlistedTimeout
    }

    /**
     * Returns machines whose reports arrive but whose workers do not receive this leader's responses. If a large share
     * of all machines appears unreachable, the fault is more likely on the leader's side, and none is returned.
     */
    private fun returnUnreachable() {
        val unreachable = cluster.machines.values.filter { !it.returning && it.responseDelivery.unconfirmedFor > lease }
        if (unreachable.size > cluster.machines.size * MAX_UNREACHABLE_SHARE) return
        unreachable.forEach { markForReturn(it, ReturnReason.DOES_NOT_HEAR) }
    }

    private companion object {
        const val MAX_UNREACHABLE_SHARE = 0.25
        const val LIST_LAG_FACTOR = 3
        const val UNRESPONSIVE_LEASES = 1.5
        val LIST_MARGIN = 5.seconds
    }
}
