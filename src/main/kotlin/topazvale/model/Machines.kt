package topazvale.model

import kotlin.time.Duration

/** Resources that a task needs or a machine has. */
data class Resources(val cpus: Double, val gpus: Double, val memoryGb: Double) {
    operator fun plus(other: Resources) = Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb)

    operator fun minus(other: Resources) = Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb)

    operator fun times(count: Int) = Resources(cpus * count, gpus * count, memoryGb * count)

    /** Whether this fits into [other]. */
    fun fitsIn(other: Resources) = cpus <= other.cpus + ROUNDING_TOLERANCE && gpus <= other.gpus + ROUNDING_TOLERANCE &&
        memoryGb <= other.memoryGb + ROUNDING_TOLERANCE

    /** How many times this fits into [other]. */
    fun countFittingIn(other: Resources): Int {
        fun count(needed: Double, available: Double) =
            if (needed <= 0.0) Int.MAX_VALUE else ((available + ROUNDING_TOLERANCE) / needed).toInt().coerceAtLeast(0)
        return minOf(count(cpus, other.cpus), count(gpus, other.gpus), count(memoryGb, other.memoryGb))
    }

    companion object {
        /** Amounts are floating-point numbers, so their sums may have rounding errors. */
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
    /** How many seconds a machine takes to fetch [gigabytes]; infinite if it cannot fetch anything. */
    fun fetchSeconds(gigabytes: Double): Double = if (gigabytes == 0.0) 0.0 else gigabytes / fetchGbPerS

    /** The current price of a spot machine or an on-demand machine. */
    fun price(spot: Boolean) = if (spot) spotPrice else price
}

/** A market of the cloud. Prices and capacity vary independently for each market. */
data class Market(val type: String, val zone: String, val spot: Boolean)

/** The state of a machine reported by the cloud: booting, running, or stopped without a request. */
enum class CloudStatus { STARTING, RUNNING, FAILED }

/** A machine as the cloud lists it. */
data class ListedMachine(
    val host: String,
    val endpoint: String,
    val market: Market,
    val status: CloudStatus,
    val age: Duration,
)
