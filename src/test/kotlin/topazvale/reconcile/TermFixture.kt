package topazvale.reconcile

import topazvale.fake.FakeStateService
import topazvale.fake.FakeStateStore
import topazvale.model.Clocks
import topazvale.store.Keys
import topazvale.store.RecordWriter
import topazvale.wire.Condition
import kotlin.time.Duration.Companion.seconds

/** What one leadership term with [token] knows and writes, on the state service [store], without its loops. */
internal class TermFixture(
    store: FakeStateStore = FakeStateStore(),
    token: Long = 7,
    clocks: Clocks = Clocks.SYSTEM,
    valueBytes: Int = VALUE_BYTES,
    opsPerTransaction: Int = OPS_PER_TRANSACTION,
) {
    val state = FakeStateService(store)

    /** Writes as the leader of a state service without a leader key. */
    val records = RecordWriter(state, Condition(Keys.LEADER, 0), opsPerTransaction)
    val starts = StartLog(records, token, valueBytes)
    val cluster = ClusterState(records, starts, valueBytes, clocks)
    val reports = ReportProcessor(cluster, records, token, LEASE, RunTimes(), clocks)
    val rebuild = Rebuild(state, records, cluster, starts, DecisionLog(token))

    companion object {
        const val VALUE_BYTES = 8192
        private const val OPS_PER_TRANSACTION = 16
        private val LEASE = 14.seconds
    }
}
