package topazvale.store

import topazvale.wire.Change

/** How much goes into one transaction; less once the state service has found one too large. */
internal class TransactionLimits(private var changes: Int) {
    private var bytes = INITIAL_BYTES

    val mostChanges: Int get() = changes

    /** As many changes as one transaction takes, of [keys] in their order; at least one. */
    fun batch(keys: Collection<String>, change: (String) -> Change): List<Change> {
        val batch = ArrayList<Change>()
        var size = 0
        for (key in keys.take(changes)) {
            val next = change(key)
            size += key.length + Records.size((next as? Change.Put)?.data)
            if (batch.isNotEmpty() && size > bytes) return batch
            batch += next
        }
        return batch
    }

    /** A transaction of so many changes was refused as invalid. */
    fun narrow(refused: Int) {
        changes = refused / 2
        bytes = maxOf(bytes / 2, LEAST_BYTES)
    }

    private companion object {
        const val INITIAL_BYTES = 48 * 1024
        const val LEAST_BYTES = 1024
    }
}
