package topazvale.store

import topazvale.model.Market
import kotlin.time.Instant

/**
 * Machines that were rented together, with the images that their caches should hold, so that the next leader places
 * tasks equally well.
 */
data class MachineGroupRecord(val market: Market, val rented: Instant, val images: Map<String, List<String>>) {
    /** Encodes the record as it is stored. */
    fun encode(): Map<String, Any?> = mapOf(
        "type" to market.type,
        "zone" to market.zone,
        "spot" to market.spot,
        "rented" to rented.toEpochMilliseconds(),
        "hosts" to images,
    )

    companion object {
        fun decode(data: Map<String, Any?>) = MachineGroupRecord(
            market = Market(data["type"] as String, data["zone"] as String, data["spot"] as Boolean),
            rented = Instant.fromEpochMilliseconds(data["rented"] as Long),
            images = (data["hosts"] as Map<*, *>).entries.associate { (host, images) ->
                host as String to (images as List<*>).filterIsInstance<String>()
            },
        )
    }
}
