package topazvale.reconcile

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import topazvale.config.Settings
import topazvale.model.Order
import topazvale.model.Start
import topazvale.store.Mirror

/**
 * Sends orders to workers without waiting for their next report.
 *
 * A straight order that gets no answer may be carried out minutes later, as long as token and session stand. Its
 * starts are marked as loose before it leaves and stay so until an answer settles them.
 */
class StraightOrders(
    private val settings: Settings,
    private val token: Long,
    private val mirror: Mirror,
    private val fleet: Fleet,
    private val reports: Reports,
    private val workers: WorkerClient,
    private val scope: CoroutineScope,
    private val wake: () -> Unit,
) {
    private val busy = HashSet<String>()
    private val stopped = HashSet<Start>()

    fun raiseToken(machine: Machine) = send(machine, emptyList())

    fun deliver() {
        for (machine in fleet.machines.values.toList()) {
            val heard = machine.heard ?: continue
            if (machine.host in busy || heard.elapsedNow() > settings.workers.report * Snapshots.REPORTS_MISSED) continue
            val orders = orders(machine)
            if (orders.isNotEmpty()) send(machine, orders)
        }
    }

    private fun orders(machine: Machine): List<Order> = machine.placed.values.mapNotNull { p ->
        val stop = p.stop
        when {
            p.ticket > mirror.durable || p.session != machine.session -> null
            stop != null -> if (stopped.add(p.start)) Order.Stop(p.start, stop) else null
            p.state == null && !p.sent && !p.inherited -> Order.Run(p.start)
            else -> null
        }
    }

    private fun send(machine: Machine, orders: List<Order>) {
        val runs = orders.filterIsInstance<Order.Run>().mapNotNull { machine.placed[it.start] }
        val settled = runs.filter { !it.loose }
        runs.forEach {
            it.sent = true
            it.loose = true
        }
        busy += machine.host
        val session = machine.session
        scope.launch {
            try {
                val report = workers.command(machine.endpoint, token, session, orders)
                if (report != null) {
                    settled.forEach { it.loose = false }
                    if (fleet.machines[machine.host] === machine && reports.take(report, direct = true)) wake()
                }
            } finally {
                busy -= machine.host
            }
        }
    }
}
