package topazvale

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import topazvale.config.SettingsTest
import topazvale.fake.FakeCluster
import topazvale.model.JobSpec
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Base of the failure tests: runs complete controllers in virtual time against fakes that record rule violations. */
@OptIn(ExperimentalCoroutinesApi::class)
abstract class FailureScenario {
    protected val spec = Samples.array.copy(
        tasks = 6,
        estimate = 20.seconds,
        need = Samples.array.need.copy(gpus = 0.0),
    )
    protected val longJob = spec.copy(id = "job-9", estimate = 300.seconds)

    /** Runs [body] on a cluster that has a leader, and fails if any rule was violated. */
    protected fun withCluster(
        taskTime: Duration = 20.seconds,
        settingsText: String = SettingsTest.TEXT,
        body: suspend FakeCluster.() -> Unit,
    ) = runTest(timeout = 2.minutes) {
        val cluster = FakeCluster(this, settingsText = settingsText)
        cluster.taskTime = { job, _ -> if (job.id == longJob.id) 300.seconds else taskTime }
        cluster.awaitCondition(30.seconds, "a controller leads") { cluster.leader != null }
        cluster.body()
        assertEquals(emptyList<String>(), cluster.violations)
    }

    protected fun FakeCluster.job(spec: JobSpec) = also { jobs[spec.id] = spec }

    /** Ends the leader, waits until another controller leads, and restarts the former one after [restartAfter]. */
    protected suspend fun FakeCluster.failOver(restartAfter: Duration = 3.seconds) {
        val former = leader ?: return
        former.stop()
        awaitCondition(20.seconds, "another controller leads") { leader != null && leader?.name != former.name }
        delay(restartAfter)
        start(former.name)
    }
}
