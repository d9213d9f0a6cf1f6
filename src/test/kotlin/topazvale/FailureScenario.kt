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

/** What the tests of failures share: whole controllers in virtual time against fakes, which note each broken rule. */
@OptIn(ExperimentalCoroutinesApi::class)
abstract class FailureScenario {
    protected val spec = Samples.array.copy(
        tasks = 6,
        estimate = 20.seconds,
        need = Samples.array.need.copy(gpus = 0.0),
    )
    protected val long = spec.copy(id = "job-9", estimate = 300.seconds)

    /** Runs [body] on a cluster that has a leader; fails for each rule that is broken in it. */
    protected fun withCluster(
        taskTime: Duration = 20.seconds,
        settingsText: String = SettingsTest.TEXT,
        body: suspend FakeCluster.() -> Unit,
    ) = runTest(timeout = 2.minutes) {
        val cluster = FakeCluster(this, settingsText = settingsText)
        cluster.taskTime = { job, _ -> if (job.id == long.id) 300.seconds else taskTime }
        cluster.awaitCondition(30.seconds, "somebody leads") { cluster.leader != null }
        cluster.body()
        assertEquals(emptyList<String>(), cluster.violations)
    }

    protected fun FakeCluster.job(spec: JobSpec) = also { jobs[spec.id] = spec }

    /** Ends what leads, so that another one takes over, and brings the former one back. */
    protected suspend fun FakeCluster.handOver(back: Duration = 3.seconds) {
        val former = leader ?: return
        former.stop()
        awaitCondition(20.seconds, "another one leads") { leader != null && leader?.name != former.name }
        delay(back)
        start(former.name)
    }
}
