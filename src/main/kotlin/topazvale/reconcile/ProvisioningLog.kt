package topazvale.reconcile

import org.slf4j.LoggerFactory
import org.slf4j.spi.LoggingEventBuilder
import topazvale.model.Market
import kotlin.time.Duration

/** Logs, as structured events, which machines a term rents and returns and why that was allowed. */
internal class ProvisioningLog(private val token: Long) {
    private val log = LoggerFactory.getLogger(ProvisioningLog::class.java)

    /** Machines were rented; [leaseAge] is the time since the leader last renewed its lease. */
    fun rented(booking: String, market: Market, requested: Int, hosts: List<String>, leaseAge: Duration) =
        event(log.atInfo()) {
            add("booking", booking).add("market", market).add("asked", requested).add("hosts", hosts)
                .add("leaseAge", leaseAge)
                .log("rented")
        }

    /** Machines were returned to the cloud. */
    fun returned(hosts: List<String>, leaseAge: Duration) = event(log.atInfo()) {
        add("hosts", hosts).add("leaseAge", leaseAge).log("returned")
    }

    /** A machine is to be returned to the cloud. */
    fun returnRequested(machine: ManagedMachine, reason: ReturnReason) = event(log.atInfo()) {
        add("machine", machine.host).add("reason", reason).add("seenAge", machine.lastReportAt.age)
            .add("tasks", machine.placements.size)
            .log("return_wanted")
    }

    private inline fun event(builder: LoggingEventBuilder, write: LoggingEventBuilder.() -> Unit) {
        builder.add("term", token).write()
    }
}

/** Why a machine is returned to the cloud. */
enum class ReturnReason { FAILED, FAULTY, NEVER_UP, UNLISTED, SILENT, DOES_NOT_HEAR, IDLE }
