package topazvale.soak

import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A kind of fault. [inject] returns when the fault has ended, and also ends the fault when it is cancelled. */
enum class Trouble(val inject: suspend FaultContext.() -> Unit) {
    LEADER_ENDS({ restart(listOfNotNull(cluster.leader), randomDuration(100, 4000)) }),
    CONTROLLER_ENDS({ restart(listOf(cluster.membersByName.values.random(random)), randomDuration(100, 4000)) }),
    ALL_CONTROLLERS_END({ restart(cluster.membersByName.values.toList(), randomDuration(100, 9000)) }),
    LEADERS_IN_SERIES({
        repeat(random.nextInt(2, 5)) {
            restart(listOfNotNull(cluster.leader), randomDuration(50, 2500))
            delay(randomDuration(500, 4000))
        }
    }),
    LEADER_STANDS_STILL({ pause(cluster.leader, randomDuration(500, 9000)) }),
    CONTROLLER_STANDS_STILL({ pause(cluster.membersByName.values.random(random), randomDuration(500, 9000)) }),
    STATE_OUTAGE({
        withFault(randomDuration(1000, 9000), { cluster.store.outage = true }, { cluster.store.outage = false })
    }),
    STATE_REFUSES_LEADER({
        withStateFault(cluster.leader, randomDuration(2000, 10_000), { refusing = true }, { refusing = false })
    }),
    STATE_SILENT_FOR_LEADER({
        withStateFault(cluster.leader, randomDuration(2000, 10_000), { unresponsive = true }, { unresponsive = false })
    }),
    STATE_SLOW({
        val maxMs = random.nextInt(50, 500)
        withStateFaultForAll({ latency = { random.nextInt(maxMs).milliseconds } }, { latency = { 1.milliseconds } })
    }),
    TRANSACTIONS_LATE({
        withStateFaultForAll(
            {
                delayedShare = AFFECTED_SHARE
                commitDelay = { random.nextInt(500, 8000).milliseconds }
            },
            { delayedShare = 0.0 },
        )
    }),
    TRANSACTION_ANSWERS_LOST({
        withStateFaultForAll({ lostResponseShare = AFFECTED_SHARE }, { lostResponseShare = 0.0 })
    }),
    LEADER_CUT_FROM_STATE_AND_PEERS({
        val leader = cluster.leader
        leader?.peers?.cut = true
        try {
            withStateFault(leader, randomDuration(3000, 12_000), { unresponsive = true }, { unresponsive = false })
        } finally {
            leader?.peers?.cut = false
        }
    }),
    REPORTS_SLOW({
        val maxMs = random.nextInt(300, 1500)
        withWorkerFault(
            MANY_DIVISOR,
            { reportDelay = { random.nextInt(maxMs).milliseconds } },
            { reportDelay = { NORMAL_DELAY } },
        )
    }),
    REPORTS_SLOW_THEN_CUT({
        val workers = randomWorkers(MANY_DIVISOR)
        try {
            workers.forEach { it.faults.reportDelay = { random.nextInt(700, 1200).milliseconds } }
            // Stops are sent as direct commands, so their responses arrive before reports that were sent earlier.
            repeat(random.nextInt(8, 15)) {
                workload.cancelSome(1)
                delay(randomDuration(200, 500))
            }
            workers.forEach {
                it.faults.dropsReports = true
                it.faults.dropsInbound = true
            }
            delay(cluster.limits.lease + randomDuration(1000, 5000))
        } finally {
            workers.forEach {
                it.faults.reportDelay = { NORMAL_DELAY }
                it.faults.dropsReports = false
                it.faults.dropsInbound = false
            }
        }
    }),
    ANSWERS_SLOW({
        withWorkerFault(
            MANY_DIVISOR,
            { reportResponseDelay = { random.nextInt(1500).milliseconds } },
            { reportResponseDelay = { NORMAL_DELAY } },
        )
    }),
    DIRECT_COMMANDS_SLOW({
        withWorkerFault(
            MANY_DIVISOR,
            { commandDelay = { random.nextInt(1500).milliseconds } },
            { commandDelay = { NORMAL_DELAY } },
        )
    }),
    DIRECT_ANSWERS_SLOW({
        val slowDelay = { random.nextInt(1500).milliseconds }
        withWorkerFault(MANY_DIVISOR, { commandResponseDelay = slowDelay }, { commandResponseDelay = { NORMAL_DELAY } })
    }),
    DIRECT_COMMANDS_LATE({
        withWorkerFault(
            FEW_DIVISOR,
            { unansweredCommandDelay = random.nextInt(1000, 12_000).milliseconds },
            { unansweredCommandDelay = null },
        )
    }),
    WORKERS_CUT_OFF({
        withWorkerFault(
            FEW_DIVISOR,
            {
                dropsReports = true
                dropsInbound = true
            },
            {
                dropsReports = false
                dropsInbound = false
            },
        )
    }),
    WORKERS_DEAF({ withWorkerFault(FEW_DIVISOR, { dropsInbound = true }, { dropsInbound = false }) }),
    WORKERS_MUTE({ withWorkerFault(FEW_DIVISOR, { dropsReports = true }, { dropsReports = false }) }),
    WORKERS_HANG({ randomWorkers(FEW_DIVISOR).forEach { it.pause(randomDuration(500, 8000)) } }),
    MACHINES_GONE({ randomWorkers(FEW_DIVISOR).take(2).forEach { cluster.cloud.removeMachine(it.host) } }),
    REPORTS_HELD({ randomWorkers(MANY_DIVISOR).forEach { it.faults.nextReportDelay = randomDuration(1000, 12_000) } }),
    REPORT_COPIES({
        val copyDelay = randomDuration(500, 9000)
        withFault(
            randomDuration(2000, 8000),
            { cluster.duplicateReportDelay = copyDelay },
            { cluster.duplicateReportDelay = null },
        )
    }),
    CLOUD_OUTAGE({
        withFault(randomDuration(1000, 8000), { cluster.cloud.outage = true }, { cluster.cloud.outage = false })
    }),
    WATCHES_TOO_OLD({
        repeat(random.nextInt(2, 6)) {
            cluster.store.compact()
            delay(randomDuration(300, 1500))
        }
    }),
    LISTINGS_SLOW({
        withStateFaultForAll(
            {
                pageSize = random.nextInt(1, 8)
                pageDelay = { random.nextInt(300).milliseconds }
            },
            {
                pageSize = Int.MAX_VALUE
                pageDelay = { Duration.ZERO }
            },
        )
    }),
    WATCH_ANSWERS_SLOW({
        withStateFaultForAll({ watchDelay = { random.nextInt(1500).milliseconds } }, { watchDelay = { Duration.ZERO } })
    }),
    LEADER_OUT_OF_MEMORY({ cluster.cloud.nextListOversized = true }),
    JOBS_CANCELLED_AT_END({
        repeat(random.nextInt(5, 20)) {
            workload.cancelFinishing()
            delay(randomDuration(100, 400))
        }
    }),
    JOBS_CANCELLED({ workload.cancelSome(random.nextInt(2, 9)) }),
    ZONE_LOST_WHILE_LEADERS_CHANGE({ loseZoneWhileLeadersChange() }),
    SAVING_TASKS_CANCELLED({ cancelSavingTasks() }),
    COMMANDS_REPEATED({ repeatCommandsWhileTasksMove() }),
    REQUESTS_REPEATED({ repeatRequests() }),
}

/** Whether the fault may delay a command of a controller for long before it is carried out. */
val Trouble.delaysCommands: Boolean get() = this !in WITHOUT_DELAYED_COMMANDS

private val WITHOUT_DELAYED_COMMANDS = setOf(
    Trouble.STATE_OUTAGE,
    Trouble.STATE_SLOW,
    Trouble.WATCHES_TOO_OLD,
    Trouble.LISTINGS_SLOW,
    Trouble.WATCH_ANSWERS_SLOW,
    Trouble.JOBS_CANCELLED_AT_END,
    Trouble.JOBS_CANCELLED,
)

private const val AFFECTED_SHARE = 0.3
internal const val MANY_DIVISOR = 2
private const val FEW_DIVISOR = 4
private val NORMAL_DELAY = 3.milliseconds
