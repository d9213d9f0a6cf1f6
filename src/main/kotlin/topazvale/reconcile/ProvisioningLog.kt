package topazvale.reconcile

import org.slf4j.LoggerFactory
import org.slf4j.spi.LoggingEventBuilder
import topazvale.model.Market
import kotlin.time.Duration

/** What a term rents and returns, as structured log events with the ground on which it was allowed. */
internal class ProvisioningLog(private val token: Long) {
    private val log = LoggerFactory.getLogger(ProvisioningLog::class.java)

    /** Machines were rented; [leaseAge]: since the last renewal of the leader's lease. */
    fun rented(booking: String, market: Market, asked: Int, hosts: List<String>, leaseAge: Duration) =
        event(log.atInfo()) {
            add("booking", booking).add("market", market).add("asked", asked).add("hosts", hosts)
                .add("leaseAge", leaseAge)
                .log("rented")
        }

    /** Machines were returned to the cloud. */
    fun returned(hosts: List<String>, leaseAge: Duration) = event(log.atInfo()) {
        add("hosts", hosts).add("leaseAge", leaseAge).log("returned")
    }

    /** A machine is to go back. */
    fun returnWanted(machine: ManagedMachine, reason: ReturnReason) = event(log.atInfo()) {
        add("machine", machine.host).add("reason", reason).add("seenAge", machine.lastReportAt.age)
            .add("tasks", machine.placements.size)
            .log("return_wanted")
    }

    private inline fun event(builder: LoggingEventBuilder, write: LoggingEventBuilder.() -> Unit) {
        builder.add("term", token).write()
    }
}

/** Why a machine is to go back to the cloud. */
enum class ReturnReason { FAILED, FAULTY, NEVER_UP, UNLISTED, SILENT, DOES_NOT_HEAR, IDLE }
