package topazvale.soak

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import topazvale.Samples
import topazvale.model.JobSpec
import topazvale.model.Rank
import topazvale.model.Resources
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What users submit, ask, repeat and cancel, at all controllers. */
class Workload(
    private val cluster: SoakCluster,
    private val scope: CoroutineScope,
    private val random: Random,
    workers: Int,
) {
    /** The largest job of a team without a limit: with more machines they are larger. */
    private val mostUnlimited = if (workers < 2 * FEW_WORKERS) MOST_TASKS else MOST_TASKS * 2 * (workers / FEW_WORKERS)

    private val accepted = LinkedHashMap<String, JobSpec>()
    private val cancelled = HashSet<String>()
    private var number = 0

    /** The jobs that users were told are accepted. */
    val jobs: Collection<JobSpec> get() = accepted.values

    /** Jobs come for that long. */
    fun start(span: Duration) {
        scope.launch { submitting(span) }
        scope.launch { asking(span) }
    }

    /** Users cancel [count] jobs that are not over, at once. */
    fun cancelSome(count: Int) {
        val open = accepted.keys.filter { it !in cancelled && !cluster.observer.isFinished(it) }
        open.shuffled(random).take(count).forEach(::cancel)
    }

    /** Users cancel a job that is about to end, if there is one. */
    fun cancelEnding() {
        val ending = accepted.values.filter {
            it.id !in cancelled && !it.isService &&
                cluster.observer.isAboutToFinish(it)
        }
        ending.randomOrNull(random)?.let { cancel(it.id) }
    }

    /** Users cancel every service, so that it ends. */
    fun cancelServices() {
        accepted.values.filter { it.isService && it.id !in cancelled }.forEach { cancel(it.id) }
    }

    /** Asks once about each job that is not known to be over; those that are still open. */
    suspend fun open(): List<JobSpec> = accepted.values.filter { !cluster.observer.isFinished(it.id) }
        .filter { cluster.users.poll(it.id) !in FINAL }

    private suspend fun submitting(span: Duration) {
        val end = cluster.clocks.mark() + span
        while (end.hasNotPassedNow()) {
            val spec = job()
            scope.launch { live(spec) }
            delay(random.nextInt(LEAST_BETWEEN_MS, MOST_BETWEEN_MS).milliseconds)
        }
    }

    private suspend fun live(spec: JobSpec) {
        val status = cluster.users.submit(spec)
        cluster.log.add("user", "${spec.id} of ${spec.tasks} tasks, ${spec.shape}, team ${spec.team}: $status")
        if (status > CREATED) return
        accepted[spec.id] = spec
        if (random.nextInt(REPEATED_OF) == 0) cluster.users.submit(spec)
        if (random.nextInt(CANCELLED_OF) != 0) return
        delay(random.nextInt(0, MOST_BEFORE_CANCEL_MS).milliseconds)
        cancel(spec.id)
    }

    private fun cancel(id: String) {
        if (!cancelled.add(id)) return
        scope.launch {
            val status = cluster.users.cancel(id)
            cluster.log.add("user", "$id is cancelled: $status")
            // At once at all controllers: none may answer something older.
            cluster.nodes.values.forEach { scope.launch { cluster.users.poll(id, it.port) } }
        }
    }

    private suspend fun asking(span: Duration) {
        val end = cluster.clocks.mark() + span
        while (end.hasNotPassedNow()) {
            delay(ASK_EVERY)
            val id = accepted.keys.randomOrNull(random) ?: continue
            scope.launch { cluster.users.poll(id) }
        }
    }

    private fun job(): JobSpec {
        val id = "job-%05d".format(++number)
        val estimate = random.nextInt(LEAST_TIME_S, MOST_TIME_S).seconds
        val limited = random.nextInt(TEAM_OF) == 0
        val plain = Samples.array.copy(
            id = id,
            team = if (limited) "blue" else "red",
            tasks = random.nextInt(1, if (limited) MOST_TASKS else mostUnlimited),
            need = Resources(random.nextInt(1, MOST_CPUS).toDouble(), 0.0, 4.0),
            rank = Rank.entries.random(random),
            estimate = estimate,
            image = "img-${random.nextInt(IMAGES)}",
        )
        return when (random.nextInt(KINDS)) {
            0 -> plain.copy(oneZone = true)
            1 -> plain.copy(spread = true)
            2 -> plain.copy(team = "red", tasks = random.nextInt(1, MOST_TASKS), need = Resources(2.0, 1.0, 8.0))
            3 -> plain.copy(zone = "b", spotAllowed = false)
            4 -> Samples.service.copy(id = id, need = Resources(1.0, 0.0, 2.0))
            else -> plain
        }
    }

    private companion object {
        const val CREATED = 201
        const val LEAST_BETWEEN_MS = 250
        const val MOST_BETWEEN_MS = 900
        const val MOST_BEFORE_CANCEL_MS = 6000
        const val REPEATED_OF = 5
        const val CANCELLED_OF = 4
        const val LEAST_TIME_S = 2
        const val MOST_TIME_S = 11
        const val MOST_TASKS = 7
        const val FEW_WORKERS = 24
        const val MOST_CPUS = 5
        const val TEAM_OF = 6
        const val IMAGES = 6
        const val KINDS = 8
        val ASK_EVERY = 100.milliseconds
        val FINAL = setOf("done", "withdrawn")
    }
}
