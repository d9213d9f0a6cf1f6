package topazvale.config

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import topazvale.model.MAX_DURATION
import topazvale.model.Objective
import topazvale.model.ObjectiveKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class SettingsTest {
    @Test
    fun `settings are read and unknown fields ignored`() {
        val settings = Settings.parse(TEXT + "\n[deployment.later]\nx = 1\n")
        assertEquals("node-0", settings.member)
        assertEquals(Address("10.0.0.2", 8081), settings.peers.single().address)
        assertEquals(8.0, settings.teams.getValue("red").limitGpus)
        assertEquals(null, settings.teams.getValue("red").limitCpus, "0 means no limit")
        assertEquals(14.seconds, settings.workers.lease)
    }

    @Test
    fun `error messages name the field`() {
        val cases = listOf(
            "missing setting: member" to TEXT.replace("member = \"node-0\"", ""),
            "invalid setting: bind must be an address with a port" to TEXT.replace("10.0.0.1:8080", "10.0.0.1"),
            "missing setting: deployment.workers.lease_s" to TEXT.replace("lease_s = 14.0", ""),
            "invalid setting: deployment.workers.lease_s must be a number above 0" to
                TEXT.replace("lease_s = 14.0", "lease_s = 0"),
            "missing setting: deployment.state.next.value_kb" to next("write_rps = 35.0\ntxn_ops = 8"),
            "missing setting: deployment.state.next.txn_ops" to next("write_rps = 35.0\nvalue_kb = 2.0"),
            "invalid setting: deployment.state.next.write_rps must be a number above 0" to
                next("write_rps = 0\nvalue_kb = 2.0\ntxn_ops = 8"),
            "invalid setting: deployment.state.next.value_kb must be a number that is not negative" to
                next("write_rps = 35.0\nvalue_kb = -2.0\ntxn_ops = 8"),
            "invalid setting: deployment.state.next.value_kb must be at least 1" to
                next("write_rps = 35.0\nvalue_kb = 0.5\ntxn_ops = 8"),
            "invalid setting: deployment.state.next.txn_ops must be at least 3" to
                next("write_rps = 35.0\nvalue_kb = 2.0\ntxn_ops = 2"),
            "invalid setting: deployment.state.rps must be a number that is not negative" to
                TEXT.replace("rps = 200.0", "rps = \"many\""),
            "invalid setting: deployment.teams[0].gpus_max must be a number that is not negative" to
                TEXT.replace("gpus_max = 8.0", "gpus_max = -8.0"),
        )
        for ((message, text) in cases) {
            assertEquals(message, assertThrows(SettingsException::class.java) { Settings.parse(text) }.message)
        }
        assertThrows(SettingsException::class.java) { Settings.parse("member = ") }
    }

    private fun next(lines: String) = TEXT + "\n[deployment.state.next]\n" + lines

    @Test
    fun `the lower of the current and the next limits applies from the start`() {
        val current = StateLimits(rps = 200.0, writeRps = 50.0, valueBytes = 8192, opsPerTransaction = 24)
        assertEquals(current, Settings.parse(TEXT).stateLimits)
        val cases = listOf(
            "write_rps = 35.0\nvalue_kb = 2.0\ntxn_ops = 8" to
                current.copy(writeRps = 35.0, valueBytes = 2048, opsPerTransaction = 8),
            "write_rps = 90.0\nvalue_kb = 2.0\ntxn_ops = 30" to current.copy(valueBytes = 2048),
            "rps = 100.0\nwrite_rps = 90.0\nvalue_kb = 16\ntxn_ops = 24" to current.copy(rps = 100.0),
        )
        for ((lines, expected) in cases) assertEquals(expected, Settings.parse(next(lines)).stateLimits, lines)
    }

    @Test
    fun `objectives are grouped by queue, and unknown kinds are ignored`() {
        val kinds = listOf("kind = \"wait\"\nwithin_s = 5.0", "kind = \"deadline\"\ntimes = 1.5", "kind = \"later\"")
        val text = kinds.joinToString("") { "\n[[deployment.objectives]]\nclass = \"reports\"\nshare = 0.9\n$it" }
        val expected = listOf(
            Objective("reports", ObjectiveKind.STARTED, 5.seconds, 1.0),
            Objective("reports", ObjectiveKind.DEADLINE, Duration.ZERO, 1.5),
        )
        assertEquals(mapOf("reports" to expected), Settings.parse(TEXT + text).objectives)
    }

    /** Guards against settings that are accepted and then fail a calculation because they became infinite. */
    @Test
    fun `durations of any length are finite`() {
        val text = TEXT.replace("cancel_s = 44.0", "cancel_s = 1e300").replace("lag_s = 5.0", "lag_s = 1e16")
        val settings = Settings.parse(text.replace("error_ms = 5.0", "error_ms = 1e19"))
        val durations = listOf(settings.workers.cancelLimit, settings.cloudLimits.listLag, settings.clockError)
        assertEquals(List(durations.size) { MAX_DURATION }, durations)
        assertEquals(MAX_DURATION, Tuning.parse("bid_window_s = 1e300").bidWindow)
    }

    @Test
    fun `operators' settings have defaults`() {
        assertEquals(Tuning(), Tuning.parse(""))
        assertEquals(Tuning(alpha = 2.0, idleTimeout = 20.seconds), Tuning.parse("alpha = 2\nkeep_s = 20"))
        assertThrows(SettingsException::class.java) { Tuning.parse("leader_lease_s = 0.1") }
    }

    companion object {
        val TEXT = """
            member = "node-0"
            area = "a"
            bind = "10.0.0.1:8080"
            mesh_addr = "10.0.0.1:8081"
            [[seeds]]
            member = "node-1"
            area = "b"
            address = "10.0.0.2:8081"
            [outside]
            cloud = "10.2.0.2:8443"
            state = "10.2.0.1:2379"
            [deployment]
            initial_size = 2
            clock_error_ms = 5.0
            [[deployment.teams]]
            name = "red"
            cpus = 0.0
            cpus_max = 0.0
            gpus = 4.0
            gpus_max = 8.0
            [deployment.workers]
            report_s = 3.0
            lease_s = 14.0
            gang_wait_s = 40.0
            gang_peer_s = 5.0
            cancel_s = 44.0
            [deployment.state]
            rps = 200.0
            write_rps = 50.0
            value_kb = 8.0
            txn_ops = 24
            [deployment.cloud]
            rps = 6.0
            list_lag_s = 5.0
            [deployment.resources]
            cpu_share = 0.2
            mem_mb = 181.0
            max_connections = 1200
        """.trimIndent()
    }
}
