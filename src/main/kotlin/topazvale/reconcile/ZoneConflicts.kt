package topazvale.reconcile

import topazvale.scheduler.WaitingJob

/** Follows which waiting jobs that are bound to one zone have placements in several; logs when that begins and ends. */
internal class ZoneConflicts(private val ledger: PlacementLedger, private val decisions: AdmissionLog) {
    private val inConflict = HashSet<String>()

    /** Compares the [waiting] jobs of a new snapshot with those of the last one. */
    fun update(waiting: List<WaitingJob>) {
        val current = waiting.filter { it.spec.oneZone && it.placedByZone.size > 1 }.mapTo(HashSet()) { it.spec.id }
        for (job in current - inConflict) {
            ClusterMetrics.jobInSeveralZones()
            decisions.jobInSeveralZones(job, ledger.of(job))
        }
        (inConflict - current).forEach(decisions::jobInOneZoneAgain)
        inConflict.clear()
        inConflict += current
    }
}
