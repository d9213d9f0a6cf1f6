package topazvale.store

import topazvale.wire.Change

/** Limits the size of a transaction, and lowers the limits when the state service rejects one as too large. */
internal class TransactionLimits(private var changeLimit: Int) {
    private var byteLimit = INITIAL_BYTE_LIMIT

    val maxChanges: Int get() = changeLimit

    /** Returns the changes of the first of the [keys], as many as fit into one transaction but at least one. */
    fun batch(keys: Collection<String>, change: (String) -> Change): List<Change> {
        val batch = ArrayList<Change>()
        var bytes = 0
        for (key in keys.take(changeLimit)) {
            val next = change(key)
            bytes += key.length + Records.size((next as? Change.Put)?.data)
            if (batch.isNotEmpty() && bytes > byteLimit) return batch
            batch += next
        }
        return batch
    }

    /**
     * Lowers both limits after the state service has rejected a transaction of [rejectedChanges] changes as invalid.
     */
    fun lower(rejectedChanges: Int) {
        changeLimit = rejectedChanges / 2
        byteLimit = maxOf(byteLimit / 2, MIN_BYTE_LIMIT)
    }

    private companion object {
        const val INITIAL_BYTE_LIMIT = 48 * 1024
        const val MIN_BYTE_LIMIT = 1024
    }
}
