package topazvale.model

import kotlin.time.Duration

/** What a task takes or a machine has. */
data class Resources(val cpus: Double, val gpus: Double, val memoryGb: Double) {
    operator fun plus(o: Resources) = Resources(cpus + o.cpus, gpus + o.gpus, memoryGb + o.memoryGb)

    operator fun minus(o: Resources) = Resources(cpus - o.cpus, gpus - o.gpus, memoryGb - o.memoryGb)

    operator fun times(n: Int) = Resources(cpus * n, gpus * n, memoryGb * n)

    /** Whether [o] has room for this. */
    fun fitsIn(o: Resources) = cpus <= o.cpus + ROUNDING_TOLERANCE && gpus <= o.gpus + ROUNDING_TOLERANCE &&
        memoryGb <= o.memoryGb + ROUNDING_TOLERANCE

    /** How many of this fit into [o]. */
    fun countFittingIn(o: Resources): Int {
        fun share(need: Double, have: Double) =
            if (need <= 0.0) Int.MAX_VALUE else ((have + ROUNDING_TOLERANCE) / need).toInt().coerceAtLeast(0)
        return minOf(share(cpus, o.cpus), share(gpus, o.gpus), share(memoryGb, o.memoryGb))
    }

    companion object {
        /** Amounts are decimals: sums may miss by rounding. */
        private const val ROUNDING_TOLERANCE = 1e-6
        val NONE = Resources(0.0, 0.0, 0.0)
    }
}

/** A machine type as the cloud offers it; prices are in dollars per hour. */
data class MachineType(
    val name: String,
    val capacity: Resources,
    val cacheGb: Double,
    val fetchGbPerS: Double,
    val price: Double,
    val spotPrice: Double,
    val bootTime: Duration,
    val zones: List<String>,
) {
    /** The current price of a spot or a steady machine. */
    fun price(spot: Boolean) = if (spot) spotPrice else price
}

/** A market: prices and capacity vary for each on its own. */
data class Market(val type: String, val zone: String, val spot: Boolean)

/** A machine by the cloud: booting, up, or stopped by itself. */
enum class CloudStatus { STARTING, RUNNING, FAILED }

/** A machine as the cloud lists it. */
data class ListedMachine(
    val host: String,
    val endpoint: String,
    val market: Market,
    val status: CloudStatus,
    val age: Duration,
)
