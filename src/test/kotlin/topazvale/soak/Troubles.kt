package topazvale.soak

import kotlinx.coroutines.delay
import topazvale.emulator.WorkerEmulator
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A kind of trouble: begins, lasts, and ends by itself, also when it is cancelled. */
enum class Trouble(val play: suspend TroubleContext.() -> Unit) {
    LEADER_ENDS({ restart(listOfNotNull(cluster.leader), between(100, 4000)) }),
    CONTROLLER_ENDS({ restart(listOf(cluster.nodes.values.random(random)), between(100, 4000)) }),
    ALL_CONTROLLERS_END({ restart(cluster.nodes.values.toList(), between(100, 9000)) }),
    LEADERS_IN_SERIES({
        repeat(random.nextInt(2, 5)) {
            restart(listOfNotNull(cluster.leader), between(50, 2500))
            delay(between(500, 4000))
        }
    }),
    LEADER_STANDS_STILL({ pause(cluster.leader, between(500, 9000)) }),
    CONTROLLER_STANDS_STILL({ pause(cluster.nodes.values.random(random), between(500, 9000)) }),
    STATE_OUTAGE({ during(between(1000, 9000), { cluster.store.outage = true }, { cluster.store.outage = false }) }),
    STATE_REFUSES_LEADER({ toState(cluster.leader, between(2000, 10_000), { refusing = true }, { refusing = false }) }),
    STATE_SILENT_FOR_LEADER({
        toState(cluster.leader, between(2000, 10_000), { hanging = true }, { hanging = false })
    }),
    STATE_SLOW({
        val most = random.nextInt(50, 500)
        forAll({ latency = { random.nextInt(most).milliseconds } }, { latency = { 1.milliseconds } })
    }),
    TRANSACTIONS_LATE({
        forAll(
            {
                lateShare = LATE_SHARE
                lateBy = { random.nextInt(500, 8000).milliseconds }
            },
            { lateShare = 0.0 },
        )
    }),
    TRANSACTION_ANSWERS_LOST({ forAll({ lostShare = LATE_SHARE }, { lostShare = 0.0 }) }),
    LEADER_CUT_FROM_STATE_AND_PEERS({
        val leader = cluster.leader
        leader?.peers?.cut = true
        try {
            toState(leader, between(3000, 12_000), { hanging = true }, { hanging = false })
        } finally {
            leader?.peers?.cut = false
        }
    }),
    REPORTS_SLOW({
        val most = random.nextInt(300, 1500)
        toWorkers(MANY, { reportDelay = { random.nextInt(most).milliseconds } }, { reportDelay = { USUAL } })
    }),
    REPORTS_SLOW_THEN_CUT({
        val workers = some(MANY)
        try {
            workers.forEach { it.faults.reportDelay = { random.nextInt(700, 1200).milliseconds } }
            // Stops are sent directly, and their answers overtake the reports.
            repeat(random.nextInt(8, 15)) {
                workload.cancelSome(1)
                delay(between(200, 500))
            }
            workers.forEach {
                it.faults.dropsReports = true
                it.faults.dropsInbound = true
            }
            delay(cluster.limits.lease + between(1000, 5000))
        } finally {
            workers.forEach {
                it.faults.reportDelay = { USUAL }
                it.faults.dropsReports = false
                it.faults.dropsInbound = false
            }
        }
    }),
    ANSWERS_SLOW({
        toWorkers(MANY, { reportResponseDelay = { random.nextInt(1500).milliseconds } }, {
            reportResponseDelay =
                { USUAL }
        })
    }),
    DIRECT_COMMANDS_SLOW({
        toWorkers(MANY, { commandDelay = { random.nextInt(1500).milliseconds } }, { commandDelay = { USUAL } })
    }),
    DIRECT_ANSWERS_SLOW({
        val slow = { random.nextInt(1500).milliseconds }
        toWorkers(MANY, { commandResponseDelay = slow }, { commandResponseDelay = { USUAL } })
    }),
    DIRECT_COMMANDS_LATE({
        toWorkers(FEW, { unansweredCommandDelay = random.nextInt(1000, 12_000).milliseconds }, {
            unansweredCommandDelay =
                null
        })
    }),
    WORKERS_CUT_OFF({
        toWorkers(
            FEW,
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
    WORKERS_DEAF({ toWorkers(FEW, { dropsInbound = true }, { dropsInbound = false }) }),
    WORKERS_MUTE({ toWorkers(FEW, { dropsReports = true }, { dropsReports = false }) }),
    WORKERS_HANG({ some(FEW).forEach { it.pause(between(500, 8000)) } }),
    MACHINES_GONE({ some(FEW).take(2).forEach { cluster.cloud.take(it.host) } }),
    REPORTS_HELD({ some(MANY).forEach { it.faults.nextReportDelay = between(1000, 12_000) } }),
    REPORT_COPIES({
        val late = between(500, 9000)
        during(between(2000, 8000), { cluster.duplicateReportDelay = late }, { cluster.duplicateReportDelay = null })
    }),
    CLOUD_OUTAGE({ during(between(1000, 8000), { cluster.cloud.outage = true }, { cluster.cloud.outage = false }) }),
    WATCHES_TOO_OLD({
        repeat(random.nextInt(2, 6)) {
            cluster.store.compact()
            delay(between(300, 1500))
        }
    }),
    LISTINGS_SLOW({
        forAll(
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
        forAll({ watchDelay = { random.nextInt(1500).milliseconds } }, { watchDelay = { Duration.ZERO } })
    }),
    LEADER_OUT_OF_MEMORY({ cluster.cloud.nextListTooLarge = true }),
    JOBS_CANCELLED_AT_END({
        repeat(random.nextInt(5, 20)) {
            workload.cancelEnding()
            delay(between(100, 400))
        }
    }),
    JOBS_CANCELLED({ workload.cancelSome(random.nextInt(2, 9)) }),
}

/** Whether commands of a controller may be carried out long after they were sent. */
val Trouble.holdsCommands: Boolean get() = this !in WITHOUT_HELD_COMMANDS

private val WITHOUT_HELD_COMMANDS = setOf(
    Trouble.STATE_OUTAGE,
    Trouble.STATE_SLOW,
    Trouble.WATCHES_TOO_OLD,
    Trouble.LISTINGS_SLOW,
    Trouble.WATCH_ANSWERS_SLOW,
    Trouble.JOBS_CANCELLED_AT_END,
    Trouble.JOBS_CANCELLED,
)

private const val LATE_SHARE = 0.3
private const val MANY = 2
private const val FEW = 4
private val USUAL = 3.milliseconds

/** What a trouble does its harm with. */
class TroubleContext(val cluster: SoakCluster, val workload: Workload, val random: Random) {
    /** A time between two numbers of milliseconds. */
    fun between(leastMs: Int, mostMs: Int): Duration = random.nextInt(leastMs, mostMs).milliseconds

    /** Of the workers that are up one in [of]. */
    fun some(of: Int): List<WorkerEmulator> = cluster.cloud.workers.filter { random.nextInt(of) == 0 }

    /** Ends the processes, and starts them again after that long. */
    suspend fun restart(members: List<SoakMember>, back: Duration) = try {
        members.forEach { it.process.kill() }
        delay(back)
    } finally {
        members.forEach { it.process.start() }
    }

    /** Stops the process for that long. */
    suspend fun pause(member: SoakMember?, span: Duration) = try {
        member?.process?.pause()
        delay(span)
    } finally {
        member?.process?.resume()
    }

    /** Something is so for that long. */
    suspend fun during(span: Duration, begin: () -> Unit, end: () -> Unit) = try {
        begin()
        delay(span)
    } finally {
        end()
    }

    /** One controller's way to the state service is so for that long. */
    suspend fun toState(
        member: SoakMember?,
        span: Duration,
        begin: StateFaults.() -> Unit,
        end: StateFaults.() -> Unit,
    ) = during(span, { member?.state?.faults?.begin() }, { member?.state?.faults?.end() })

    /** Every controller's way to the state service is so for a while. */
    suspend fun forAll(begin: StateFaults.() -> Unit, end: StateFaults.() -> Unit) {
        val all = cluster.nodes.values.map { it.state.faults }
        during(between(3000, 9000), { all.forEach(begin) }, { all.forEach(end) })
    }

    /** The messages of one worker in [of] are so for a while. */
    suspend fun toWorkers(
        of: Int,
        begin: topazvale.emulator.WorkerFaults.() -> Unit,
        end: topazvale.emulator.WorkerFaults.() -> Unit,
    ) {
        val hit = some(of).map { it.faults }
        during(between(2000, 10_000), { hit.forEach(begin) }, { hit.forEach(end) })
    }
}

/** A trouble at its time. */
class PlannedTrouble(val at: Duration, val trouble: Trouble, val seed: Int) {
    override fun toString() = "$at $trouble"

    companion object {
        private const val EVERY_S = 3

        /** The troubles of one run, drawn from its generator: about one every three seconds, so that several overlap. */
        fun draw(random: Random, span: Duration, kinds: List<Trouble>): List<PlannedTrouble> {
            val count = (span.inWholeSeconds / EVERY_S).toInt()
            val last = span.inWholeMilliseconds.toInt()
            return List(count) {
                PlannedTrouble(random.nextInt(last).milliseconds, kinds.random(random), random.nextInt())
            }.sortedBy { it.at }
        }
    }
}
