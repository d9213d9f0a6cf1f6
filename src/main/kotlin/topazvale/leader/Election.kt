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

/** A leadership term. Its token is the revision at which the leader key was taken, so that tokens always rise. */
class Term(val token: Long, val lease: Long, private val ttl: Duration, clocks: Clocks) {
    /** When the last renewal that succeeded was sent. */
    var lastRenewedAt: ComparableTimeMark = clocks.mark()
        private set
    var ended = false
        private set

    /**
     * Whether the lease cannot have ended yet. What the state service does not fence, renting and returning machines
     * above all, is done only while this holds: a leader cut off from the state service sees all workers move to
     * its successor, and must not take it for dead.
     */
    val holdsLease: Boolean get() = !ended && lastRenewedAt.elapsedNow() < ttl - MARGIN

    /** A renewal that was sent then has succeeded. */
    fun recordRenewal(sentAt: ComparableTimeMark) {
        if (sentAt > lastRenewedAt) lastRenewedAt = sentAt
    }

    /** Nothing more is done in this term; the election gives the key up. */
    fun end() {
        ended = true
    }

    private companion object {
        val MARGIN = 200.milliseconds
    }
}

/** Who stands for election: the member's name, and what tells one life of its process from the next. */
class Candidate(val member: String, val incarnation: String)

/** Told of the terms of this process, on the event loop. */
interface TermListener {
    /** This process leads from now on. */
    fun termBegan(term: Term)

    /** The term is over; another may begin. */
    fun termEnded(term: Term)
}

/**
 * Takes the leader key when nobody holds it and keeps it by renewing its lease.
 *
 * A node that finds its own name in the key takes over at once: one process at a time runs under a name, so that the
 * former one is dead, and whatever it sent depends on the key's old version.
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

    /** Who held the key when it was last read. */
    var leader: String? = null
        private set
    var term: Term? = null
        private set

    /** The token of the last term of this process, or 0. */
    var highestToken = 0L
        private set

    /** After a term that ended by itself others go first. */
    private var abstain: ComparableTimeMark? = null

    /** Follows, campaigns and leads in turn until its scope ends. */
    suspend fun run() {
        while (true) {
            val current = term
            if (current != null) serve(current) else follow()
        }
    }

    private suspend fun follow() {
        when (val found = state.get(Keys.LEADER)) {
            is Outcome.Ok -> {
                // Whoever wrote what cannot be read holds the key: its lease ends, or it does not.
                val holder = record(found.value)
                when {
                    holder?.member != candidate.member -> await(holder, found.value)
                    abstain?.hasPassedNow() == false -> delay(RETRY)
                    else -> campaign(found.value)
                }
            }

            is Outcome.Gone -> {
                leader = null
                if (abstain?.hasPassedNow() == false) delay(RETRY) else campaign(null)
            }

            else -> delay(RETRY)
        }
    }

    private fun record(entry: Entry): LeaderRecord? = Records.readOrNull(entry.key, entry.data, LeaderRecord::decode)

    private suspend fun await(holder: LeaderRecord?, entry: Entry) {
        leader = holder?.member
        when (val seen = state.watch(Keys.LEADER, entry.version, WATCH)) {
            is Outcome.Ok -> if (seen.value.events.lastOrNull()?.data == null &&
                seen.value.events.isNotEmpty()
            ) {
                leader = null
            }

            else -> delay(RETRY)
        }
    }

    private suspend fun campaign(former: Entry?) {
        val sent = clocks.mark()
        val lease = when (val granted = state.grant(ttl)) {
            is Outcome.Ok -> granted.value
            else -> return delay(RETRY)
        }
        val record = LeaderRecord(candidate.member, candidate.incarnation)
        val commit = state.commit(
            listOf(Condition(Keys.LEADER, former?.version ?: 0)),
            listOf(Change.Put(Keys.LEADER, record.encode(), lease)),
            urgent = true,
        )
        val token = when (commit) {
            is Commit.Done -> commit.revision

            // The outcome is in the key itself. It must hang on this lease: an earlier campaign of this process, or its
            // former term, leaves the same record there, and with it a token or a lease that is not this one's.
            is Commit.Unknown -> (state.get(Keys.LEADER) as? Outcome.Ok)?.value
                ?.takeIf { record(it) == record && it.lease == lease }?.version

            else -> null
        }
        if (token == null) return delay(RETRY)
        log.atInfo().addKeyValue("member", candidate.member).addKeyValue("token", token).addKeyValue("lease", lease)
            .addKeyValue("askedAgo", sent.elapsedNow()).log("term_began")
        leader = candidate.member
        val won = Term(token, lease, ttl, clocks).also { it.recordRenewal(sent) }
        term = won
        highestToken = token
        listener.termBegan(won)
    }

    private suspend fun serve(current: Term) {
        while (!current.ended) {
            val sent = clocks.mark()
            when (state.renew(current.lease)) {
                is Outcome.Ok -> current.recordRenewal(sent)

                is Outcome.Gone -> current.end()

                else -> {
                    delay(RETRY)
                    continue
                }
            }
            if (!current.ended) delay(ttl / RENEWALS)
        }
        log.atInfo().addKeyValue("member", candidate.member).addKeyValue("token", current.token)
            .addKeyValue("renewedAgo", current.lastRenewedAt.elapsedNow()).log("term_ended")
        term = null
        leader = null
        listener.termEnded(current)
        abstain = clocks.mark() + ttl * TERMS_ABSTAINED
        // Whoever comes next need not wait for the lease to end.
        state.commit(listOf(Condition(Keys.LEADER, current.token)), listOf(Change.Delete(Keys.LEADER)), urgent = true)
    }

    /** Runs the election in its scope. */
    fun start(): Job = scope.launchForever("election") { runUntilFailure() }

    /** A term whose beginning or renewal failed may lack what belongs to it: it ends before the election goes on. */
    private suspend fun runUntilFailure() {
        try {
            run()
        } finally {
            term?.end()
        }
    }

    private companion object {
        const val RENEWALS = 4
        const val TERMS_ABSTAINED = 2
        val RETRY = 200.milliseconds
        val WATCH = 5.seconds
    }
}
