package topazvale.mesh

import kotlinx.coroutines.delay
import topazvale.config.Peer
import topazvale.model.Clocks
import topazvale.supervision.SupervisedScope
import kotlin.time.Duration.Companion.seconds

/** Fetches the status of a peer. */
interface PeerClient {
    /** The encoded status, or null without a response. */
    suspend fun fetchStatus(peer: Peer): ByteArray?
}

/** Polls the status of the other controllers. */
class Peers(
    private val scope: SupervisedScope,
    private val peers: List<Peer>,
    private val client: PeerClient,
    private val clocks: Clocks,
    /** Whether the state service responds to this controller. The status of the peers matters while it does not. */
    private val stateServiceAvailable: () -> Boolean,
) {
    private val statuses = HashMap<String, ReceivedStatus>()

    /** Starts polling each peer. */
    fun start() = peers.forEach { peer ->
        scope.launchForever("peer ${peer.member}") { poll(peer) }
    }

    /** The last status received from each peer; null for a peer without a usable one. */
    val latestStatuses: List<ReceivedStatus?> get() = peers.map { statuses[it.member] }

    private suspend fun poll(peer: Peer) {
        while (true) {
            val requestedAt = clocks.mark()
            val response = client.fetchStatus(peer)
            if (response != null) {
                val status = PeerStatus.decode(response)
                if (status == null) {
                    statuses.remove(peer.member)
                } else {
                    statuses[peer.member] = ReceivedStatus(status, requestedAt, clocks.mark())
                }
            }
            delay(POLL_INTERVAL)
            // The calls add up in a large cluster: while the state service is available, most polls are skipped.
            repeat(SKIPPED_POLLS) { if (stateServiceAvailable()) delay(POLL_INTERVAL) }
        }
    }

    private companion object {
        val POLL_INTERVAL = 1.seconds
        const val SKIPPED_POLLS = 3
    }
}
