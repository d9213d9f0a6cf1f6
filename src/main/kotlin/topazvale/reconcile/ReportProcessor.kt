package topazvale.reconcile

import org.slf4j.LoggerFactory
import topazvale.model.Clocks
import topazvale.model.ExitCause
import topazvale.model.Order
import topazvale.model.Report
import topazvale.model.ReportedTask
import topazvale.model.Resources
import topazvale.model.Start
import topazvale.model.TaskState
import topazvale.store.RecordWriter
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Takes in what workers say and works out what they are to be told. */
class ReportProcessor(
    private val cluster: ClusterState,
    private val records: RecordWriter,
    private val token: Long,
    private val lease: Duration,
    private val runTimes: RunTimes,
    private val clocks: Clocks,
) {
    private val log = LoggerFactory.getLogger(ReportProcessor::class.java)

    /** Updates the picture; true where something changed that the scheduler may act upon. */
    fun take(report: Report, direct: Boolean): Boolean {
        val machine = machine(report) ?: return false
        // Copies come late, and from sessions that are over: only the newest word counts.
        if (report.session < machine.session ||
            (report.session == machine.session && report.sequence <= machine.sequence)
        ) {
            return false
        }
        machine.endpoint = report.endpoint
        if (!direct) machine.responses.reported(report, token, report.session == machine.session, lease)
        val fresh = machine.heard == null || report.session > machine.session
        if (report.session > machine.session) endSessions(machine, report.session)
        // A machine is idle from when it is up, not from when it was asked for.
        if (machine.heard == null) machine.idleSince = clocks.mark()
        machine.session = report.session
        machine.sequence = report.sequence
        machine.token = maxOf(machine.token, report.token)
        machine.noticed = clocks.mark()
        // Only an answered report keeps a worker's lease; but a session that is new to us has one of its own.
        if (!direct || fresh) machine.heard = machine.noticed
        if (!direct) {
            for (placed in machine.placed.values) {
                if ((placed.answered ?: report.sequence) <
                    report.sequence
                ) {
                    placed.answered = null
                }
            }
        }
        machine.notice = report.notice?.let { clocks.mark() + it }
        var changed = fresh || report.notice != null
        for (task in report.tasks) changed = takeTask(machine, report, task) || changed
        // Under a lower token a former leader's command may still be on its way.
        if (report.token >= token && machine.placed.isNotEmpty()) changed = dropMissing(machine, report) || changed
        return changed
    }

    private fun dropMissing(machine: ManagedMachine, report: Report): Boolean {
        val listed = report.tasks.mapTo(HashSet()) { it.start }
        val missing = machine.placed.values.filter {
            it.start !in listed &&
                (it.inherited || it.state != null || (it.stop != null && !it.loose && it.answered == null))
        }
        missing.forEach(::lost)
        return missing.isNotEmpty()
    }

    /** The machine that reports; null for one that has gone back to the cloud, whose words can only be late copies. */
    private fun machine(report: Report): ManagedMachine? {
        if (cluster.isReturned(report.host)) return null
        if (report.host !in cluster.machines) {
            log.info("unexpected machine {}", report.host)
            cluster.add(report.host, report.market, clocks.now(), listOf(report.host), ours = false)
        }
        return cluster.machines[report.host]
    }

    /** What the machine is told in answer to its report. */
    fun orders(machine: ManagedMachine, report: Report): List<Order> = buildList {
        if (report.tasks.isEmpty() && machine.placed.isEmpty()) return@buildList
        val listed = report.tasks.associateBy { it.start }
        for (placed in machine.placed.values) {
            val shown = listed[placed.start]
            val stop = placed.stop
            when {
                !placed.isRecorded(records) || placed.session != machine.session -> Unit

                stop != null -> {
                    // A command that may still arrive is made void by letting the start begin and end at once.
                    if (placed.loose && shown == null) add(Order.Run(placed.start))
                    if (shown == null || shown.state != TaskState.SAVING) add(Order.Stop(placed.start, stop))
                }

                shown == null && placed.state == null && !placed.inherited -> {
                    placed.sent = true
                    placed.answered = report.sequence
                    add(Order.Run(placed.start))
                }
            }
        }
        for (task in listed.values) {
            if (task.state == TaskState.EXITED && task.start !in machine.placed && task.start !in machine.keep) {
                add(Order.Clear(task.start))
            }
        }
    }

    private fun takeTask(machine: ManagedMachine, report: Report, task: ReportedTask): Boolean {
        val known = machine.placed[task.start]
        if (known == null) {
            if (task.state == TaskState.EXITED) return false
            // Not on record: it must not stay, but it counts for as long as it is here.
            val job = cluster.jobs[task.start.task.job]
            val need = job?.spec?.need ?: Resources.NONE
            val stray = PlacedTask(task.start, machine, report.session, need, inherited = true)
            stray.state = task.state
            stray.stop = Duration.ZERO
            machine.add(stray)
            job?.placed?.putIfAbsent(task.start.task.index, stray)
            log.warn("stray task {} on {}", task.start, machine.host)
            return true
        }
        if (known.state == task.state) return false
        known.state = task.state
        val job = cluster.jobs[task.start.task.job]
        if (known.onMachine && job != null) cluster.fetched(machine, job.spec.image)
        if (task.state == TaskState.RUNNING) known.runningSince = clocks.mark()
        if (task.state == TaskState.EXITED) exited(known, job, task.cause ?: ExitCause.ERROR)
        if (job != null) cluster.publishCounts(job)
        return true
    }

    private fun exited(placed: PlacedTask, job: ManagedJob?, cause: ExitCause) {
        if (placed.loose) placed.machine.keep += placed.start
        cluster.remove(placed, heard = true)
        if (job == null) return
        log.debug("{} on {} exited: {}", placed.start, placed.machine.host, cause)
        if (job.spec.isService && (cause == ExitCause.DONE || cause == ExitCause.ERROR)) {
            // A worker that keeps a result would end the replica again at once: it rests, and the others go on.
            val ran = placed.runningSince?.elapsedNow() ?: Duration.ZERO
            job.replicaEnded(placed.start.task.index, ran, clocks.mark(), ::backoff)
            if (cause == ExitCause.ERROR) failed(placed, job)
            return
        }
        when (cause) {
            ExitCause.DONE -> {
                placed.runningSince?.let { runTimes.finished(job.spec, it.elapsedNow()) }
                placed.machine.faults = 0
                job.succeeded()
                if (job.spec.isGang) {
                    repeat(job.spec.tasks) { cluster.markDone(job, it) }
                } else {
                    cluster.markDone(job, placed.start.task.index)
                }
            }

            ExitCause.ERROR -> {
                failed(placed, job)
                job.failures++
                job.notBefore = clocks.mark() + backoff(job.failures)
            }

            ExitCause.NO_ROOM, ExitCause.BUSY, ExitCause.NO_SUCH ->
                job.notBefore = clocks.mark() + REFUSED_PAUSE

            ExitCause.STOPPED, ExitCause.MATES_GONE, ExitCause.INCOMPLETE -> Unit
        }
    }

    private fun failed(placed: PlacedTask, job: ManagedJob) {
        if (job.failedOn(placed.machine.host)) placed.machine.faults++
    }

    private fun endSessions(machine: ManagedMachine, session: Long) {
        machine.placed.values.filter { it.session < session }.forEach(::lost)
        machine.keep.clear()
        machine.arriving.clear()
        machine.faults = 0
    }

    /** Proven to be gone without a word of its own. */
    fun lost(placed: PlacedTask) {
        log.debug("{} on {} is gone", placed.start, placed.machine.host)
        cluster.remove(placed, heard = false)
        cluster.jobs[placed.start.task.job]?.let(cluster::publishCounts)
    }

    private companion object {
        val REFUSED_PAUSE = 1.seconds
        val LONGEST_BACKOFF = 30.seconds

        fun backoff(failures: Int): Duration = if (failures <
            2
        ) {
            Duration.ZERO
        } else {
            (1.seconds * (1 shl minOf(failures - 2, 5))).coerceAtMost(LONGEST_BACKOFF)
        }
    }
}
