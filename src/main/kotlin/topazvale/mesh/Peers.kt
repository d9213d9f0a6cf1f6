package topazvale.mesh

import kotlinx.coroutines.delay
import topazvale.config.Peer
import topazvale.model.Clocks
import topazvale.supervision.SupervisedScope
import kotlin.time.Duration.Companion.seconds

/** Asks one of the other nodes for its word. */
interface PeerClient {
    /** Null where no answer came. */
    suspend fun fetchStatus(peer: Peer): ByteArray?
}

/** Asks the other nodes how they stand with the state service. */
class Peers(
    private val scope: SupervisedScope,
    private val others: List<Peer>,
    private val client: PeerClient,
    private val clocks: Clocks,
    /** Whether the state service answers us. The peers' words matter where it does not. */
    private val served: () -> Boolean,
) {
    private val statuses = HashMap<String, ReceivedStatus>()

    /** Begins to ask each peer. */
    fun start() = others.forEach { seed ->
        scope.launchForever("peer ${seed.member}") { ask(seed) }
    }

    val all: List<ReceivedStatus?> get() = others.map { statuses[it.member] }

    private suspend fun ask(seed: Peer) {
        while (true) {
            val asked = clocks.mark()
            val answer = client.fetchStatus(seed)
            if (answer != null) {
                val status = PeerStatus.decode(answer)
                if (status == null) {
                    statuses.remove(seed.member)
                } else {
                    statuses[seed.member] = ReceivedStatus(status, asked, clocks.mark())
                }
            }
            delay(EVERY)
            // Among many nodes these calls add up: where all is well most of them are left out.
            repeat(LEFT_OUT) { if (served()) delay(EVERY) }
        }
    }

    private companion object {
        val EVERY = 1.seconds
        const val LEFT_OUT = 3
    }
}
