package topazvale.config

import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The operators' own settings: policy, as opposed to the platform's settings. Their defaults are defined only here. */
data class Tuning(
    /** α: the time reserved for a job before its deadline, as a multiple of its estimated run time. */
    val alpha: Double = 4.0,
    /** B: the time reserved for a machine to boot. */
    val bootAllowance: Duration = 60.seconds,
    /** How far back the lowest spot price is searched. */
    val bidWindow: Duration = 600.seconds,
    /** Amount by which a bid exceeds its reference price, in dollars per hour. */
    val bidStep: Double = 0.001,
    /** How long an idle machine is kept before it is returned. */
    val idleTimeout: Duration = 15.seconds,
    /** How long no machines are requested from a market that refused a request. */
    val marketCooldown: Duration = 15.seconds,
    /** Time to live of the leader's lease in the state service. */
    val leaderLease: Duration = 4.seconds,
) {
    companion object {
        fun load(path: Path): Tuning = parse(Settings.readFile(path))

        fun parse(text: String): Tuning {
            val table = Table.parse(text)
            val defaults = Tuning()
            fun duration(name: String, default: Duration) = if (table.has(name)) table.seconds(name) else default
            return Tuning(
                alpha = table.nonNegativeOr("alpha", defaults.alpha),
                bootAllowance = duration("boot_allowance_s", defaults.bootAllowance),
                bidWindow = duration("bid_window_s", defaults.bidWindow),
                bidStep = table.nonNegativeOr("bid_step", defaults.bidStep),
                idleTimeout = duration("keep_s", defaults.idleTimeout),
                marketCooldown = duration("refused_pause_s", defaults.marketCooldown),
                leaderLease = duration("leader_lease_s", defaults.leaderLease).also {
                    if (it < 1.seconds) throw SettingsException("invalid setting: leader_lease_s must be at least 1")
                },
            )
        }
    }
}
