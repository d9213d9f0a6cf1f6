package topazvale.reconcile

/** Removes the tasks of unresponsive workers whose lease has certainly expired. */
internal class ExpiredLeases(
    private val cluster: ClusterState,
    private val leaseRules: LeaseRules,
    private val reports: ReportProcessor,
    private val decisions: DecisionLog,
) {
    /** Expires the leases that are due; called regularly by the planning loop. */
    fun expire() {
        for (machine in cluster.machines.values) {
            if (machine.placements.isNotEmpty() && !machine.lease.mayRun(leaseRules)) expireLease(machine)
        }
    }

    private fun expireLease(machine: ManagedMachine) {
        val grounds = machine.lease.grounds(leaseRules)
        if (machine.lease.mayRun(leaseRules)) Invariants.reportViolation("early_give_up", "${machine.host}: $grounds")
        decisions.machineLost(machine, grounds)
        if (grounds.age != null) ClusterMetrics.machineLost(grounds.age - grounds.lease)
        val proof = AbsenceProof.LeaseEnded(grounds)
        machine.placements.values.toList().forEach { reports.removeLost(it, proof) }
    }
}
