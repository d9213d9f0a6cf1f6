package topazvale.reconcile

import org.slf4j.LoggerFactory
import org.slf4j.spi.LoggingEventBuilder
import topazvale.model.Market
import topazvale.model.Order

/** Logs, as structured events, what a term knows of where tasks are, and which starts it holds back because of it. */
class AdmissionLog(private val token: Long) {
    private val log = LoggerFactory.getLogger(AdmissionLog::class.java)

    /** The start of a task is not sent for now; [placements] are all placements of its job. */
    fun startRefused(placed: PlacedTask, refusal: StartRefusal, placements: JobPlacements) {
        // Users cancel jobs at any time, so that reason alone is no cause for concern.
        val builder = if (refusal == StartRefusal.JOB_OVER) log.atInfo() else log.atWarn()
        event(builder) {
            placement(placed).add("reason", refusal).add("zones", placements.byZone).add("besides", sample(placements))
                .add("mayHaveBeenSent", placed.mayHaveBeenSent)
                .log("start_refused")
        }
    }

    /** A job bound to one zone has placements in several, and starts nothing until one zone is left. */
    fun jobInSeveralZones(job: String, placements: JobPlacements) = event(log.atWarn()) {
        add("job", job).add("zones", placements.byZone).add("placements", sample(placements))
            .log("job_in_several_zones")
    }

    /** The placements of a job are in one zone again, or it has none left. */
    fun jobInOneZoneAgain(job: String) = event(log.atInfo()) { add("job", job).log("job_in_one_zone_again") }

    /** A placement was read from a former leader's record. */
    fun recordedPlacement(placed: PlacedTask, record: String) = event(log.atDebug()) {
        placement(placed).add("record", record).log("placement_recorded")
    }

    /** Orders were sent to a worker as a direct command. */
    fun commandSent(machine: ManagedMachine, orders: List<Order>) = event(log.atDebug()) {
        add("machine", machine.host).add("session", machine.session)
            .add("token", machine.commandToken.current).add("starts", orders.count { it is Order.Run })
            .add("stops", orders.count { it is Order.Stop }).add("seenAge", machine.lastReportAt.age)
            .log("command_sent")
    }

    /** A report or the machine list gives another market than the one that is known. */
    fun marketDisputed(machine: ManagedMachine, given: Market) = event(log.atWarn()) {
        add("machine", machine.host).add("known", machine.market).add("given", given).log("market_disputed")
    }

    /** One placement for each zone, with its origin, the state last reported, and the age of the machine's report. */
    private fun sample(placements: JobPlacements) = placements.all.distinctBy { it.machine.market.zone }.map {
        "$it (${it.machine.market.zone}, ${it.origin}, ${it.state}, ${it.machine.lastReportAt.age})"
    }

    private inline fun event(builder: LoggingEventBuilder, write: LoggingEventBuilder.() -> Unit) {
        builder.add("term", token).write()
    }
}
