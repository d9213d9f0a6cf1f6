package topazvale.soak

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import topazvale.Samples
import topazvale.model.JobSpec
import topazvale.model.Rank
import topazvale.model.Resources
import topazvale.model.Shape
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The requests of users to all controllers: submissions, resubmissions, status polls and cancellations. */
class Workload(
    private val cluster: SoakCluster,
    private val scope: CoroutineScope,
    private val random: Random,
    options: SoakOptions,
) {
    private val workers = options.workers

    /** The save time of jobs whose tasks save for longer than a cancellation may take. */
    private val longSaveTime = options.times.cancelS.seconds + LONG_SAVE_MARGIN

    /** The upper bound on the tasks of a job whose team has no limit; it grows with the number of workers. */
    private val maxUnlimitedTasks =
        if (workers < 2 * BASE_WORKERS) MAX_TASKS else MAX_TASKS * 2 * (workers / BASE_WORKERS)

    private val accepted = LinkedHashMap<String, JobSpec>()
    private val cancelled = HashSet<String>()
    private var lastJobNumber = 0

    /** The jobs for which a user received the response that they are accepted. */
    val jobs: Collection<JobSpec> get() = accepted.values

    /** Submits and polls jobs for [duration]. */
    fun start(duration: Duration) {
        scope.launch { submitJobs(duration) }
        scope.launch { pollJobs(duration) }
    }

    /** Cancels up to [count] unfinished jobs at the same time. */
    fun cancelSome(count: Int) {
        val unfinished = accepted.keys.filter { it !in cancelled && !cluster.observer.isFinished(it) }
        unfinished.shuffled(random).take(count).forEach(::cancel)
    }

    /** Cancels a job that is about to finish, if there is one. */
    fun cancelFinishing() {
        val finishing = accepted.values
            .filter { it.id !in cancelled && !it.isService && cluster.observer.isAboutToFinish(it) }
        finishing.randomOrNull(random)?.let { cancel(it.id) }
    }

    /** Cancels every service, because a service ends only when it is cancelled. */
    fun cancelServices() {
        accepted.values.filter { it.isService && it.id !in cancelled }.forEach { cancel(it.id) }
    }

    /** Polls each job that is not known to be finished once, and returns those that are still unfinished. */
    suspend fun unfinishedJobs(): List<JobSpec> = accepted.values.filter { !cluster.observer.isFinished(it.id) }
        .filter { cluster.users.poll(it.id) !in FINAL_STATUSES }

    private suspend fun submitJobs(duration: Duration) {
        val deadline = cluster.clocks.mark() + duration
        while (deadline.hasNotPassedNow()) {
            // Several jobs submitted at once are planned together, so that their starts share a record.
            val count = if (random.nextInt(BURST_ONE_IN) == 0) BURST_JOBS else 1
            repeat(count) {
                val spec = nextJob()
                scope.launch { submitAndFollow(spec) }
            }
            delay(random.nextInt(MIN_SUBMIT_INTERVAL_MS, MAX_SUBMIT_INTERVAL_MS).milliseconds)
        }
    }

    /** Submits an urgent job that fills whole machines of the zone, so that other tasks there are preempted. */
    fun submitUrgentJob(zone: String, tasks: Int) {
        val spec = Samples.array.copy(
            id = nextId(),
            tasks = tasks,
            need = Resources(WHOLE_MACHINE_CPUS, 0.0, 4.0),
            rank = Rank.URGENT,
            zone = zone,
            estimate = random.nextInt(MIN_ESTIMATE_S, MAX_ESTIMATE_S).seconds,
        )
        scope.launch { submitAndFollow(spec) }
    }

    /**
     * Submits an array of long tasks in the zone that save for longer than a cancellation may take. Returns its id, by
     * which the caller is to cancel it.
     */
    fun submitLongSavingArray(zone: String, tasks: Int): String {
        val spec = Samples.array.copy(
            id = nextId(),
            tasks = maxOf(tasks, 1),
            need = Resources(4.0, 0.0, 4.0),
            rank = Rank.IDLE,
            zone = zone,
            estimate = LONG_ESTIMATE,
            saveTime = longSaveTime,
        )
        scope.launch { submitAndFollow(spec) }
        return spec.id
    }

    /** Submits arrays bound to one zone together with longer work, so that their starts share records. */
    fun submitArraysBoundToOneZone() {
        val array = Samples.array.copy(
            tasks = BOUND_ARRAY_TASKS,
            need = Resources(3.0, 0.0, 4.0),
            oneZone = true,
            estimate = BOUND_ESTIMATE,
        )
        val longer = array.copy(id = nextId(), tasks = 2, oneZone = false, estimate = LONG_ESTIMATE)
        val jobs = List(BOUND_ARRAYS) { array.copy(id = nextId()) } + longer
        jobs.forEach { scope.launch { submitAndFollow(it) } }
    }

    private suspend fun submitAndFollow(spec: JobSpec) {
        val status = cluster.users.submit(spec)
        cluster.log.add("user", "${spec.id} of ${spec.tasks} tasks, ${spec.shape}, team ${spec.team}: $status")
        if (status > CREATED) return
        accepted[spec.id] = spec
        if (random.nextInt(RESUBMITTED_ONE_IN) == 0) cluster.users.submit(spec)
        if (random.nextInt(CANCELLED_ONE_IN) != 0) return
        delay(random.nextInt(0, MAX_CANCEL_DELAY_MS).milliseconds)
        cancel(spec.id)
    }

    /** Cancels the job as soon as its submission is accepted. */
    fun cancelOnceAccepted(id: String) {
        scope.launch {
            while (id !in accepted) delay(POLL_INTERVAL)
            cancel(id)
        }
    }

    private fun cancel(id: String) {
        if (!cancelled.add(id)) return
        scope.launch {
            val status = cluster.users.cancel(id)
            cluster.log.add("user", "$id is cancelled: $status")
            // Polls all controllers at the same time: none may respond with an older status.
            cluster.membersByName.values.forEach { scope.launch { cluster.users.poll(id, it.port) } }
        }
    }

    private suspend fun pollJobs(duration: Duration) {
        val deadline = cluster.clocks.mark() + duration
        while (deadline.hasNotPassedNow()) {
            delay(POLL_INTERVAL)
            val id = accepted.keys.randomOrNull(random) ?: continue
            scope.launch { cluster.users.poll(id) }
        }
    }

    private fun nextId() = "job-%05d".format(++lastJobNumber)

    private fun nextJob(): JobSpec {
        val id = nextId()
        val estimate = random.nextInt(MIN_ESTIMATE_S, MAX_ESTIMATE_S).seconds
        val isLimited = random.nextInt(LIMITED_TEAM_ONE_IN) == 0
        val batchJob = Samples.array.copy(
            id = id,
            team = if (isLimited) "blue" else "red",
            tasks = random.nextInt(1, if (isLimited) MAX_TASKS else maxUnlimitedTasks),
            need = Resources(random.nextInt(1, MAX_CPUS).toDouble(), 0.0, 4.0),
            rank = Rank.entries.random(random),
            estimate = estimate,
            image = "img-${random.nextInt(IMAGES)}",
            saveTime = if (random.nextInt(LONG_SAVE_ONE_IN) == 0) longSaveTime else Samples.array.saveTime,
        )
        return when (random.nextInt(JOB_KINDS)) {
            0 -> batchJob.copy(oneZone = true)
            1 -> batchJob.copy(spread = true)
            2 -> batchJob.copy(team = "red", tasks = random.nextInt(1, MAX_TASKS), need = Resources(2.0, 1.0, 8.0))
            3 -> batchJob.copy(zone = "b", spotAllowed = false)
            4 -> Samples.service.copy(id = id, need = Resources(1.0, 0.0, 2.0))
            5 -> gang(batchJob)
            6 -> restricted(gang(batchJob))
            7, 8 -> restricted(batchJob.copy(oneZone = true, tasks = random.nextInt(MAX_TASKS, LONG_ARRAY_TASKS)))
            9 -> restricted(batchJob)
            else -> batchJob
        }
    }

    /** A gang without a zone, bound to one zone, or spread over zones. */
    private fun gang(job: JobSpec): JobSpec {
        val kind = random.nextInt(GANG_KINDS)
        return job.copy(
            team = "red",
            shape = Shape.GANG,
            tasks = random.nextInt(2, MAX_TASKS),
            oneZone = kind == 0,
            spread = kind == 1,
        )
    }

    /** Restricts the zone, unless the job is spread, or the type or the kind of machine. */
    private fun restricted(job: JobSpec): JobSpec = when (random.nextInt(RESTRICTIONS)) {
        0 -> if (job.spread) job else job.copy(zone = listOf("a", "b").random(random))
        1 -> job.copy(types = listOf("plain"))
        2 -> if (job.spread) job else job.copy(zone = listOf("a", "b").random(random), spotAllowed = false)
        else -> job
    }

    private companion object {
        const val CREATED = 201
        const val MIN_SUBMIT_INTERVAL_MS = 250
        const val MAX_SUBMIT_INTERVAL_MS = 900
        const val MAX_CANCEL_DELAY_MS = 6000
        const val RESUBMITTED_ONE_IN = 5
        const val CANCELLED_ONE_IN = 4
        const val MIN_ESTIMATE_S = 2
        const val MAX_ESTIMATE_S = 11
        const val MAX_TASKS = 7
        const val BASE_WORKERS = 24
        const val MAX_CPUS = 5
        const val LIMITED_TEAM_ONE_IN = 6
        const val IMAGES = 6
        const val LONG_SAVE_ONE_IN = 6
        val LONG_SAVE_MARGIN = 10.seconds
        const val JOB_KINDS = 12
        const val GANG_KINDS = 3
        const val RESTRICTIONS = 4
        const val LONG_ARRAY_TASKS = 20
        const val BURST_ONE_IN = 10
        const val BURST_JOBS = 5
        const val WHOLE_MACHINE_CPUS = 14.0
        const val BOUND_ARRAYS = 2
        const val BOUND_ARRAY_TASKS = 6
        val BOUND_ESTIMATE = 8.seconds
        val LONG_ESTIMATE = 25.seconds
        val POLL_INTERVAL = 100.milliseconds
        val FINAL_STATUSES = setOf("done", "withdrawn")
    }
}
