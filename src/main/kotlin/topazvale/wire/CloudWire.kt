package topazvale.wire

import topazvale.model.CloudStatus
import topazvale.model.ListedMachine
import topazvale.model.MachineType
import topazvale.model.Market
import topazvale.model.Resources

/** A page of the machine list. */
data class MachinePage(val machines: List<ListedMachine>, val hasMore: Boolean)

/** Bodies of the cloud's API: machine types, rentals and machine lists. */
object CloudWire {
    private val statuses = mapOf(
        "starting" to CloudStatus.STARTING,
        "running" to CloudStatus.RUNNING,
        "failed" to CloudStatus.FAILED,
    )

    /** Decodes the response to a request for the machine types. */
    fun decodeMachineTypes(body: ByteArray): List<MachineType> =
        Fields(Cbor.decodeMap(body)).maps("flavors").map { typeFields ->
            MachineType(
                name = typeFields.string("sku"),
                capacity = Resources(
                    typeFields.nonNegativeNumber("cores"),
                    typeFields.nonNegativeNumber("gpus"),
                    typeFields.nonNegativeNumber("memoryGb"),
                ),
                cacheGb = typeFields.nonNegativeNumber("cacheGb"),
                fetchGbPerS = typeFields.nonNegativeNumber("fetchGbPerS"),
                price = typeFields.nonNegativeNumber("hourly"),
                spotPrice = typeFields.nonNegativeNumber("marketPrice"),
                bootTime = typeFields.duration("readyS"),
                zones = typeFields.stringsOrNull("halls").orEmpty(),
            )
        }

    /** Encodes a rental request. */
    fun encodeRental(name: String, market: Market, count: Int): ByteArray = Cbor.encode(
        mapOf(
            "booking" to name,
            "flavor" to market.type,
            "hall" to market.zone,
            "standby" to market.spot,
            "howMany" to count,
        ),
    )

    /** Decodes the hosts of the machines that a rental request obtained. */
    fun decodeRentedHosts(body: ByteArray): List<String> = Fields(Cbor.decodeMap(body)).stringsOrNull("hosts").orEmpty()

    /** Encodes a request to return machines. */
    fun encodeReturn(hosts: List<String>): ByteArray = Cbor.encode(mapOf("hosts" to hosts))

    /** Decodes a page of the machine list. */
    fun decodePage(body: ByteArray): MachinePage {
        val fields = Fields(Cbor.decodeMap(body))
        val machines = fields.maps("hosts").map { machineFields ->
            ListedMachine(
                host = machineFields.string("uid"),
                endpoint = machineFields.stringOrNull("endpoint").orEmpty(),
                market = Market(
                    machineFields.string("flavor"),
                    machineFields.string("hall"),
                    machineFields.boolean("standby"),
                ),
                status = statuses[machineFields.string("status")] ?: CloudStatus.RUNNING,
                age = machineFields.duration("heldS"),
            )
        }
        return MachinePage(machines, fields.booleanOr("truncated", false))
    }
}
