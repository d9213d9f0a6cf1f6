package topazvale.reconcile

import topazvale.scheduler.PlacementRules

/** Why a start must not be sent to its machine. */
enum class StartRefusal {
    /** The job has ended, or is or may be cancelled. */
    JOB_OVER,

    /** Another start of the task is, or may be, on a machine. */
    OTHER_PLACEMENT,

    /** The job does not allow the machine's type, zone or kind. */
    MACHINE_NOT_ALLOWED,

    /** Sources disagree about the machine's type, zone or kind. */
    MARKET_DISPUTED,

    /** The job's other placements do not allow another task in the zone. */
    ZONE_NOT_ALLOWED,
}

/**
 * Decides from the placement ledger whether a start is allowed on its machine. The decision is made when the start is
 * planned and again whenever its command leaves, because placements may become known in between.
 *
 * A start that is refused on its way out stays tracked: its command may have been sent before. One that was never sent
 * is withdrawn by the next call of [withdrawUnsent], and its task can be planned again.
 */
class StartAdmission(private val cluster: ClusterState, private val decisions: AdmissionLog) {
    private val refused = LinkedHashSet<PlacedTask>()

    /** Whether the start may be sent now. A refusal is logged and counted once for each start. */
    fun mayBeSent(placed: PlacedTask): Boolean {
        val refusal = refusal(placed)
        if (refusal == null) refused -= placed else recordRefusal(placed, refusal)
        return refusal == null
    }

    /** Why the start must not be sent now; null if it may be. */
    fun refusal(placed: PlacedTask): StartRefusal? =
        if (cluster.jobs[placed.start.task.job]?.shouldRun == true) placeRefusal(placed) else StartRefusal.JOB_OVER

    /** Why the task must not be on its machine, whether or not its job may run; null if it may be there. */
    fun placeRefusal(placed: PlacedTask): StartRefusal? {
        val spec = placed.spec ?: return StartRefusal.JOB_OVER
        val machine = placed.machine
        val zone = machine.market.zone
        val placements = cluster.ledger.of(placed.start.task.job)
        return when {
            machine.isMarketDisputed -> StartRefusal.MARKET_DISPUTED

            !PlacementRules.allows(spec, machine.market.type, zone, machine.market.spot) ->
                StartRefusal.MACHINE_NOT_ALLOWED

            placements.of(placed.start.task.index).size > 1 -> StartRefusal.OTHER_PLACEMENT

            PlacementRules.remainingInZone(spec, othersByZone(placements, zone), zone) == 0 ->
                StartRefusal.ZONE_NOT_ALLOWED

            else -> null
        }
    }

    /** The number of the job's placements in each zone, without one in [zone]. */
    private fun othersByZone(placements: JobPlacements, zone: String): Map<String, Int> =
        HashMap(placements.byZone).apply { computeIfPresent(zone) { _, count -> (count - 1).takeIf { it > 0 } } }

    /**
     * Passes each refused start that was surely never sent to [withdraw], which has to stop tracking it. Returns
     * whether there was any.
     */
    fun withdrawUnsent(withdraw: (PlacedTask) -> Unit): Boolean {
        val unsent = refused.filter { isTracked(it) && !it.mayHaveBeenSent && refusal(it) != null }
        refused.removeAll { it in unsent || !isTracked(it) }
        unsent.forEach(withdraw)
        return unsent.isNotEmpty()
    }

    private fun isTracked(placed: PlacedTask) = placed.machine.placements[placed.start] === placed

    private fun recordRefusal(placed: PlacedTask, refusal: StartRefusal) {
        if (!refused.add(placed)) return
        ClusterMetrics.startRefused(refusal)
        decisions.startRefused(placed, refusal, cluster.ledger.of(placed.start.task.job))
    }
}
