package topazvale.leader

import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import topazvale.model.Clocks
import topazvale.state.Commit
import topazvale.state.Outcome
import topazvale.state.StateService
import topazvale.store.Keys
import topazvale.store.LeaderRecord
import topazvale.store.Records
import topazvale.supervision.SupervisedScope
import topazvale.wire.Change
import topazvale.wire.Condition
import topazvale.wire.Entry
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A leadership term. Its fencing token is the revision of the write of the leader key, so tokens always increase. */
class Term(val token: Long, val lease: Long, private val ttl: Duration, clocks: Clocks) {
    /** When the last successful renewal was sent. */
    var lastRenewedAt: ComparableTimeMark = clocks.mark()
        private set
    var ended = false
        private set

    /**
     * Whether the lease cannot have expired yet. Actions that the state service does not fence, above all renting and
     * returning machines, are allowed only while this holds: a leader that is cut off from the state service sees all
     * workers move to its successor, and must not mistake them for dead.
     */
    val holdsLease: Boolean get() = !ended && lastRenewedAt.elapsedNow() < ttl - EXPIRY_MARGIN

    /** Records a successful renewal that was sent at [sentAt]. */
    fun recordRenewal(sentAt: ComparableTimeMark) {
        if (sentAt > lastRenewedAt) lastRenewedAt = sentAt
    }

    /** Ends the term; the election then deletes the leader key. */
    fun end() {
        ended = true
    }

    private companion object {
        val EXPIRY_MARGIN = 200.milliseconds
    }
}

/** A candidate: the name of the member, and the incarnation that distinguishes its process from earlier ones. */
class Candidate(val member: String, val incarnation: String)

/** Notified on the event loop when a leadership term of this process begins or ends. */
interface TermListener {
    /** This process has become the leader. */
    fun termBegan(term: Term)

    /** The term has ended; another one may begin. */
    fun termEnded(term: Term)
}

/**
 * Leader election: writes the leader key when no member holds it, and keeps it by renewing its lease.
 *
 * A node that finds its own name in the key campaigns at once, without waiting for the lease to expire. Only one
 * process at a time runs under a name, so the previous one is dead, and every write that it sent is conditional on the
 * old version of the key.
 */
class Election(
    private val state: StateService,
    private val candidate: Candidate,
    private val ttl: Duration,
    private val scope: SupervisedScope,
    private val clocks: Clocks,
    private val listener: TermListener,
) {
    private val log = LoggerFactory.getLogger(Election::class.java)

    /** The member that held the key when it was last read. */
    var leader: String? = null
        private set
    var term: Term? = null
        private set

    /** The fencing token of the last term of this process, or 0. */
    var highestToken = 0L
        private set

    /** Campaign backoff after a term of this process has ended, so that other members campaign first. */
    private var campaignBackoffUntil: ComparableTimeMark? = null

    /** Follows, campaigns and renews the lease in turn until its scope ends. */
    suspend fun run() {
        while (true) {
            val current = term
            if (current != null) renewUntilEnded(current) else followOrCampaign()
        }
    }

    private suspend fun followOrCampaign() {
        when (val result = state.get(Keys.LEADER)) {
            is Outcome.Ok -> {
                // The writer of an unreadable record holds the key like any other member, until its lease expires.
                val holder = decodeRecord(result.value)
                when {
                    holder?.member != candidate.member -> awaitChange(holder, result.value)
                    campaignBackoffUntil?.hasPassedNow() == false -> delay(RETRY_DELAY)
                    else -> campaign(result.value)
                }
            }

            is Outcome.Gone -> {
                leader = null
                if (campaignBackoffUntil?.hasPassedNow() == false) delay(RETRY_DELAY) else campaign(null)
            }

            else -> delay(RETRY_DELAY)
        }
    }

    private fun decodeRecord(entry: Entry): LeaderRecord? =
        Records.readOrNull(entry.key, entry.data, LeaderRecord::decode)

    private suspend fun awaitChange(holder: LeaderRecord?, entry: Entry) {
        leader = holder?.member
        when (val watched = state.watch(Keys.LEADER, entry.version, WATCH_TIMEOUT)) {
            is Outcome.Ok -> if (watched.value.events.lastOrNull()?.data == null &&
                watched.value.events.isNotEmpty()
            ) {
                leader = null
            }

            else -> delay(RETRY_DELAY)
        }
    }

    private suspend fun campaign(previous: Entry?) {
        val sentAt = clocks.mark()
        val lease = when (val granted = state.grant(ttl)) {
            is Outcome.Ok -> granted.value
            else -> return delay(RETRY_DELAY)
        }
        val record = LeaderRecord(candidate.member, candidate.incarnation)
        val commit = state.commit(
            listOf(Condition(Keys.LEADER, previous?.version ?: 0)),
            listOf(Change.Put(Keys.LEADER, record.encode(), lease)),
            urgent = true,
        )
        val token = when (commit) {
            is Commit.Done -> commit.revision

            // The key itself shows the outcome. It must be attached to this lease: an earlier campaign or term of this
            // process leaves the same record there, with another token or another lease.
            is Commit.Unknown -> (state.get(Keys.LEADER) as? Outcome.Ok)?.value
                ?.takeIf { decodeRecord(it) == record && it.lease == lease }?.version

            else -> null
        }
        if (token == null) return delay(RETRY_DELAY)
        log.atInfo().addKeyValue("member", candidate.member).addKeyValue("token", token).addKeyValue("lease", lease)
            .addKeyValue("askedAgo", sentAt.elapsedNow()).log("term_began")
        leader = candidate.member
        val newTerm = Term(token, lease, ttl, clocks).also { it.recordRenewal(sentAt) }
        term = newTerm
        highestToken = token
        listener.termBegan(newTerm)
    }

    private suspend fun renewUntilEnded(current: Term) {
        while (!current.ended) {
            val sentAt = clocks.mark()
            when (state.renew(current.lease)) {
                is Outcome.Ok -> current.recordRenewal(sentAt)

                is Outcome.Gone -> current.end()

                else -> {
                    delay(RETRY_DELAY)
                    continue
                }
            }
            if (!current.ended) delay(ttl / RENEWALS_PER_TTL)
        }
        log.atInfo().addKeyValue("member", candidate.member).addKeyValue("token", current.token)
            .addKeyValue("renewedAgo", current.lastRenewedAt.elapsedNow()).log("term_ended")
        term = null
        leader = null
        listener.termEnded(current)
        campaignBackoffUntil = clocks.mark() + ttl * BACKOFF_TTLS
        // The successor does not have to wait for the lease to expire.
        state.commit(listOf(Condition(Keys.LEADER, current.token)), listOf(Change.Delete(Keys.LEADER)), urgent = true)
    }

    /** Starts the election loop in its scope. */
    fun start(): Job = scope.launchForever("election") { runUntilFailure() }

    /** Ends the term if starting or renewing it fails: the term may be incomplete. The loop then restarts. */
    private suspend fun runUntilFailure() {
        try {
            run()
        } finally {
            term?.end()
        }
    }

    private companion object {
        const val RENEWALS_PER_TTL = 4
        const val BACKOFF_TTLS = 2
        val RETRY_DELAY = 200.milliseconds
        val WATCH_TIMEOUT = 5.seconds
    }
}
