package topazvale.reconcile

import topazvale.model.Market
import topazvale.store.MachineGroupRecord
import topazvale.store.Records
import kotlin.time.Instant

/** Machines rented together, which share one record. */
class MachineGroup(val key: String, val market: Market, val rentedAt: Instant) {
    val machines = LinkedHashMap<String, ManagedMachine>()

    /** The record of the machines is durable once this write ticket is. */
    var ticket = 0L

    /** The record, with as many of the most recently used images as fit into a value of [valueBytes]. */
    fun record(valueBytes: Int): Map<String, Any?> {
        val imageBytes = (valueBytes - HEADER_BYTES) / machines.size - MACHINE_BYTES
        return MachineGroupRecord(
            market,
            rentedAt,
            machines.mapValues { (_, machine) -> latestImages(machine, imageBytes) },
        ).encode()
    }

    private fun latestImages(machine: ManagedMachine, imageBytes: Int): List<String> {
        var remaining = imageBytes
        return machine.images.reversed().takeWhile { image ->
            remaining -= Records.size(image) + 1
            remaining >= 0
        }.reversed()
    }

    companion object {
        private const val HEADER_BYTES = 512
        private const val MACHINE_BYTES = 32

        /** How many machines fit into one record, without images. */
        fun maxMachines(valueBytes: Int) = ((valueBytes - HEADER_BYTES) / MACHINE_BYTES).coerceAtLeast(1)
    }
}
