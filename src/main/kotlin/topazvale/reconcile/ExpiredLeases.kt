package topazvale.reconcile

/** Gives up the tasks of silent workers whose lease must have ended. */
internal class ExpiredLeases(
    private val cluster: ClusterState,
    private val leaseRules: LeaseRules,
    private val reports: ReportProcessor,
    private val decisions: DecisionLog,
) {
    /** Called regularly by the planning loop. */
    fun expire() {
        for (machine in cluster.machines.values) {
            if (machine.placements.isNotEmpty() && !machine.lease.mayRun(leaseRules)) giveUp(machine)
        }
    }

    private fun giveUp(machine: ManagedMachine) {
        val grounds = machine.lease.grounds(leaseRules)
        if (machine.lease.mayRun(leaseRules)) Invariants.reportViolation("early_give_up", "${machine.host}: $grounds")
        decisions.machineLost(machine, grounds)
        if (grounds.age != null) ClusterMetrics.machineLost(grounds.age - grounds.lease)
        val proof = AbsenceProof.LeaseEnded(grounds)
        machine.placements.values.toList().forEach { reports.removeLost(it, proof) }
    }
}
