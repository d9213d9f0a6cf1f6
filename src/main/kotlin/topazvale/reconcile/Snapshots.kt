package topazvale.reconcile

import topazvale.config.Settings
import topazvale.model.JobSpec
import topazvale.model.MachineType
import topazvale.model.Rank
import topazvale.model.Resources
import topazvale.scheduler.Ending
import topazvale.scheduler.MachineState
import topazvale.scheduler.Snapshot
import topazvale.scheduler.WaitingJob
import topazvale.store.MachineRecord
import kotlin.time.Duration
import kotlin.time.Instant

/** Makes of the leader's picture what the scheduler looks at. */
class Snapshots(private val settings: Settings, private val fleet: Fleet, private val runTimes: RunTimes) {
    private val startsPerMachine = (settings.stateLimits.valueBytes - MachineRecord.HEAD_BYTES) / MachineRecord.START_BYTES

    private var mostPerGpu = 0.0

    fun take(now: Instant): Snapshot = Snapshot(
        now = now,
        jobs = waiting(),
        machines = fleet.machines.values.mapNotNull { m -> fleet.types[m.market.type]?.let { machine(m, it, now) } },
        types = fleet.types,
        teams = settings.teams,
        usage = fleet.usage(),
        cpusPerGpu = cpusPerGpu(),
        misplaced = misplaced(),
    )

    /** The most that any job of this term has asked for. */
    private fun cpusPerGpu(): Double {
        val asked = fleet.jobs.values.filter { it.spec.need.gpus > 0.0 }.maxOfOrNull { it.spec.need.cpus / it.spec.need.gpus }
        if (asked != null) mostPerGpu = maxOf(mostPerGpu, asked)
        return mostPerGpu
    }

    private fun misplaced(): List<JobSpec> = fleet.machines.values
        .filter { (fleet.types[it.market.type]?.room?.gpus ?: 0.0) > 0.0 }
        .flatMap { m -> m.placed.values.mapNotNull { fleet.jobs[it.start.task.job]?.spec } }
        .filter { it.need.gpus == 0.0 && it.rank >= Rank.URGENT }

    private fun waiting(): List<WaitingJob> {
        val claimed = HashMap<String, Resources>()
        return fleet.jobs.values.mapNotNull { job ->
            val guaranteed = withinGuarantee(job, claimed)
            if (!startable(job)) return@mapNotNull null
            WaitingJob(
                spec = job.spec,
                submitted = job.record.submitted,
                deadline = job.record.deadline,
                pending = job.pending,
                placedIn = job.placed.values.groupingBy { it.machine.market.zone }.eachCount(),
                estimate = runTimes.estimate(job.spec),
                withinGuarantee = guaranteed,
            )
        }
    }

    /** A gang starts anew only when nothing of its last attempt is left anywhere. */
    private fun startable(job: Job): Boolean =
        job.live && !job.finishing && job.pending > 0 && job.notBefore?.hasPassedNow() != false &&
            (!job.spec.isGang || job.placed.isEmpty())

    /** Jobs come in the order of their submission; an amount of 0 guarantees nothing of its kind. */
    private fun withinGuarantee(job: Job, claimed: MutableMap<String, Resources>): Boolean {
        if (!job.live) return false
        val team = settings.teams[job.spec.team] ?: return false
        val left = job.spec.need * (job.spec.tasks - job.doneCount)
        val sum = claimed.merge(team.name, left, Resources::plus) ?: left
        val g = team.guaranteed
        return when {
            left.gpus > 0.0 -> sum.gpus <= g.gpus && (g.cpus == 0.0 || sum.cpus <= g.cpus)
            else -> g.cpus > 0.0 && sum.cpus <= g.cpus
        }
    }

    private fun machine(m: Machine, type: MachineType, now: Instant): MachineState {
        val heard = m.heard
        val usable = !m.returning && !m.failed && m.notice == null && m.faults < FAULTS
        val up = usable && heard != null && heard.elapsedNow() < settings.workers.report * REPORTS_MISSED
        val coming = usable && heard == null &&
            (now - m.rented < type.boot * BOOT_PATIENCE || m.met.elapsedNow() < settings.workers.lease)
        return MachineState(
            host = m.host,
            market = m.market,
            type = type,
            free = if (up || coming) type.room - m.used else Resources.NONE,
            starts = startsPerMachine - m.placed.size,
            up = up,
            readyIn = if (up) Duration.ZERO else (m.rented + type.boot - now).coerceAtLeast(Duration.ZERO),
            images = m.images + m.placed.values.mapNotNull { fleet.jobs[it.start.task.job]?.spec?.image },
            endings = if (up) m.placed.values.map(::ending) else emptyList(),
            idleFor = if (m.placed.isEmpty()) m.idleSince.elapsedNow() else null,
        )
    }

    private fun ending(p: Placed): Ending {
        val spec = fleet.jobs[p.start.task.job]?.spec
        val ran = p.runningSince?.elapsedNow() ?: Duration.ZERO
        return Ending(
            start = p.start,
            need = p.need,
            within = left(p),
            rank = spec?.rank ?: Rank.NORMAL,
            lost = if (spec == null || spec.isGang) null else if (spec.checkpoints) minOf(ran, spec.saveTime) else ran,
            stopping = p.stop != null,
        )
    }

    private fun left(p: Placed): Duration {
        val job = fleet.jobs[p.start.task.job] ?: return Duration.ZERO
        val ran = p.runningSince?.elapsedNow() ?: Duration.ZERO
        return (runTimes.estimate(job.spec) - ran).coerceAtLeast(Duration.ZERO)
    }

    companion object {
        /** A machine that misses this many reports gets nothing new. */
        const val REPORTS_MISSED = 2.5

        /** A machine that takes longer than this many usual boot times is not waited for. */
        const val BOOT_PATIENCE = 3

        /** A machine on which this many starts in a row failed is faulty. */
        const val FAULTS = 3
    }
}
