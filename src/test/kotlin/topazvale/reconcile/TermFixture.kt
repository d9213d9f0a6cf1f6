package topazvale.reconcile

import topazvale.cloud.CloudService
import topazvale.cloud.RentalOutcome
import topazvale.config.Settings
import topazvale.config.SettingsTest
import topazvale.fake.FakeStateService
import topazvale.fake.FakeStateStore
import topazvale.leader.Term
import topazvale.model.Clocks
import topazvale.model.Market
import topazvale.net.Sockets
import topazvale.store.Keys
import topazvale.store.RecordWriter
import topazvale.supervision.SupervisedScope
import topazvale.wire.Condition
import kotlin.time.Duration.Companion.seconds

/** What one leadership term with [token] knows and writes, on the state service [store], without its loops. */
internal class TermFixture(
    store: FakeStateStore = FakeStateStore(),
    private val token: Long = 7,
    clocks: Clocks = Clocks.SYSTEM,
    valueBytes: Int = VALUE_BYTES,
    opsPerTransaction: Int = OPS_PER_TRANSACTION,
) {
    val state = FakeStateService(store)

    /** Writes as the leader of a state service without a leader key. */
    val records = RecordWriter(state, Condition(Keys.LEADER, 0), opsPerTransaction)
    val starts = StartLog(records, token, valueBytes)
    val tokens = FencingTokens(token, records::confirmedRevision)
    val cluster = ClusterState(records, starts, valueBytes, clocks, tokens)
    val reports = ReportProcessor(cluster, records, token, LEASE, RunTimes(), clocks)
    val rebuild = Rebuild(state, records, cluster, starts, DecisionLog(token))

    /** Makes a transaction as the leader. */
    suspend fun commit() {
        records.put("s/$token-test") { mapOf("n" to records.confirmedRevision) }
        records.flush()
    }

    /** Makes transactions until their revisions are higher than the term's token. */
    suspend fun commitBeyondToken() {
        while (records.confirmedRevision <= token) commit()
    }

    /** A context of the term for loops that call [workers]; no cloud can be reached. */
    fun context(
        workers: WorkerClient,
        scope: SupervisedScope,
        settings: Settings = Settings.parse(SettingsTest.TEXT),
    ): TermContext {
        val term = Term(token, lease = 1, ttl = 4.seconds, Clocks.SYSTEM)
        val services = ServiceClients(state, NoCloud, workers)
        return TermContext(settings, term, services, Sockets(100, fixedConnections = 0), scope, Clocks.SYSTEM)
    }

    private object NoCloud : CloudService {
        override suspend fun listMachineTypes() = null

        override suspend fun rent(name: String, market: Market, count: Int, precondition: () -> Boolean) =
            RentalOutcome.Refused

        override suspend fun returnMachines(hosts: List<String>, precondition: () -> Boolean) = false

        override suspend fun listMachines() = null
    }

    companion object {
        const val VALUE_BYTES = 8192
        private const val OPS_PER_TRANSACTION = 16
        private val LEASE = 14.seconds
    }
}
