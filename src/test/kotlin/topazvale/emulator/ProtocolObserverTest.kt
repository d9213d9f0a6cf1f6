package topazvale.emulator

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.api.ApiResponse
import topazvale.config.Settings
import topazvale.config.SettingsTest
import topazvale.model.Clocks
import topazvale.model.JobSpec
import topazvale.model.Market
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Injects violations to verify that the observer reports each of them, and nothing that the protocol allows. */
class ProtocolObserverTest {
    private val time = TestTimeSource()
    private val clocks = Clocks(time, Clock.System)
    private var observer = ProtocolObserver(Settings.parse(SettingsTest.TEXT), clocks)
    private val inA = Market("plain", "a", spot = false)
    private val inB = inA.copy(zone = "b")

    private fun job(spec: JobSpec) = spec.also { observer.jobs[it.id] = it }

    private fun ProtocolObserver.start(host: String, market: Market, spec: JobSpec, index: Int) =
        recordStart(host, market, "${spec.id}/$index", spec)

    private fun recordStatus(status: String, code: Int = 200, sentAt: kotlin.time.ComparableTimeMark = clocks.mark()) =
        observer.recordResponse("job-1", ApiResponse.of(code, mapOf("uid" to "job-1", "status" to status)), sentAt)

    @Test
    fun `each injected violation is reported and allowed behaviour is not`() {
        val array = Samples.array.copy(need = Samples.array.need.copy(gpus = 0.0))
        val cases = listOf<Pair<String?, () -> Unit>>(
            null to {
                val spec = job(array)
                observer.start("n-1", inA, spec, 0)
                observer.recordStop("n-1", "job-1/0")
                observer.start("n-2", inB, spec, 0)
            },
            "ran_twice" to {
                val spec = job(array)
                observer.start("n-1", inA, spec, 0)
                observer.start("n-2", inB, spec, 0)
            },
            "quota" to {
                val spec = job(array.copy(need = array.need.copy(gpus = 5.0)))
                observer.start("n-1", inA, spec, 0)
                observer.start("n-2", inA, spec, 1)
            },
            "wrong_place" to {
                val spec = job(array.copy(oneZone = true))
                observer.start("n-1", inA, spec, 0)
                observer.start("n-2", inB, spec, 1)
            },
            "wrong_place" to {
                val spec = job(array.copy(spread = true))
                repeat(3) { observer.start("n-$it", inA, spec, it) }
            },
            "wrong_place" to { observer.start("n-1", inA, job(array.copy(zone = "b")), 0) },
            "wrong_place" to { observer.start("n-1", inA, job(array.copy(types = listOf("gpu"))), 0) },
            "wrong_place" to {
                observer.start("n-1", inA.copy(spot = true), job(array.copy(spotAllowed = false)), 0)
            },
            "ran_cancelled" to {
                observer.start("n-1", inA, job(array), 0)
                recordStatus("withdrawn")
                time += 45.seconds
                observer.checkCancellations()
            },
            "ran_cancelled" to {
                val spec = job(array)
                recordStatus("withdrawn")
                time += 45.seconds
                observer.start("n-1", inA, spec, 0)
            },
            "forgotten" to {
                job(array)
                recordStatus("", code = 404)
            },
            "went_back" to {
                job(array)
                recordStatus("withdrawn")
                time += 1.seconds
                recordStatus("running")
            },
            null to {
                job(array)
                val sentAt = clocks.mark()
                time += 1.seconds
                recordStatus("withdrawn")
                recordStatus("running", sentAt = sentAt)
            },
            "not_done" to {
                job(array)
                recordStatus("done")
            },
        )
        cases.forEachIndexed { number, (rule, inject) ->
            observer = ProtocolObserver(Settings.parse(SettingsTest.TEXT), clocks)
            inject()
            assertEquals(listOfNotNull(rule), observer.violations.map { it.rule }.distinct(), "case $number")
        }
    }
}
