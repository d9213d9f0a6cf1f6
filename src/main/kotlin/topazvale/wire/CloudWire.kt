package topazvale.wire

import topazvale.model.CloudStatus
import topazvale.model.ListedMachine
import topazvale.model.MachineType
import topazvale.model.Market
import topazvale.model.Resources

/** A page of the machine list. */
data class MachinePage(val machines: List<ListedMachine>, val more: Boolean)

/** The cloud's machine types, rentals and lists. */
object CloudWire {
    private val statuses = mapOf(
        "starting" to CloudStatus.STARTING,
        "running" to CloudStatus.RUNNING,
        "failed" to CloudStatus.FAILED,
    )

    /** The answer to a question for machine types. */
    fun types(body: ByteArray): List<MachineType> = Fields(Cbor.decodeMap(body)).maps("flavors").map { f ->
        MachineType(
            name = f.text("sku"),
            capacity = Resources(f.amount("cores"), f.amount("gpus"), f.amount("memoryGb")),
            cacheGb = f.amount("cacheGb"),
            fetchGbPerS = f.amount("fetchGbPerS"),
            price = f.amount("hourly"),
            spotPrice = f.amount("marketPrice"),
            bootTime = f.span("readyS"),
            zones = f.textsOrNull("halls").orEmpty(),
        )
    }

    /** A rental request. */
    fun rental(name: String, market: Market, count: Int): ByteArray = Cbor.encode(
        mapOf(
            "booking" to name,
            "flavor" to market.type,
            "hall" to market.zone,
            "standby" to market.spot,
            "howMany" to count,
        ),
    )

    /** The machines that a rental request got. */
    fun rented(body: ByteArray): List<String> = Fields(Cbor.decodeMap(body)).textsOrNull("hosts").orEmpty()

    /** A request to return machines. */
    fun release(hosts: List<String>): ByteArray = Cbor.encode(mapOf("hosts" to hosts))

    /** A page of the machine list. */
    fun page(body: ByteArray): MachinePage {
        val top = Fields(Cbor.decodeMap(body))
        val machines = top.maps("hosts").map { f ->
            ListedMachine(
                host = f.text("uid"),
                endpoint = f.textOrNull("endpoint").orEmpty(),
                market = Market(f.text("flavor"), f.text("hall"), f.flag("standby")),
                status = statuses[f.text("status")] ?: CloudStatus.RUNNING,
                age = f.span("heldS"),
            )
        }
        return MachinePage(machines, top.flagOr("truncated", false))
    }
}
