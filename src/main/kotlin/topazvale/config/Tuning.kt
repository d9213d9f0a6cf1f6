package topazvale.config

import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The operators' own settings: policy, not platform. The only place where their defaults stand. */
data class Tuning(
    /** α: how many run times of slack a job keeps in hand. */
    val alpha: Double = 4.0,
    /** B: what is set aside for a machine to come up. */
    val bootAllowance: Duration = 60.seconds,
    /** How far back the lowest spot price is looked for. */
    val bidWindow: Duration = 600.seconds,
    /** What a bid adds to the price it follows, in dollars per hour. */
    val bidStep: Double = 0.001,
    /** How long a machine without work is kept. */
    val idleTimeout: Duration = 15.seconds,
    /** How long a market that refused us is left alone. */
    val marketCooldown: Duration = 15.seconds,
    /** The leader's lease in the state service. */
    val leaderLease: Duration = 4.seconds,
) {
    companion object {
        fun load(path: Path): Tuning = parse(Settings.readFile(path))

        fun parse(text: String): Tuning {
            val t = Table.parse(text)
            val d = Tuning()
            fun span(name: String, default: Duration) = t.amountOr(name, default.toDouble(DurationUnit.SECONDS)).seconds
            return Tuning(
                alpha = t.amountOr("alpha", d.alpha),
                bootAllowance = span("boot_allowance_s", d.bootAllowance),
                bidWindow = span("bid_window_s", d.bidWindow),
                bidStep = t.amountOr("bid_step", d.bidStep),
                idleTimeout = span("keep_s", d.idleTimeout),
                marketCooldown = span("refused_pause_s", d.marketCooldown),
                leaderLease = span("leader_lease_s", d.leaderLease).also {
                    if (it < 1.seconds) throw SettingsException("invalid setting: leader_lease_s must be at least 1")
                },
            )
        }
    }
}
