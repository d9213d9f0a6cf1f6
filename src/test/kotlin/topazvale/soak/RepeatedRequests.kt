package topazvale.soak

import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Copies of answered direct commands arrive seconds later. Meanwhile tasks are cancelled and preempted, some machines
 * pause, and the leader is restarted within a second.
 */
internal suspend fun FaultContext.repeatCommandsWhileTasksMove() {
    val affected = cluster.cloud.workers
    affected.forEach { it.faults.commandCopyDelay = copyDelays(MAX_COMMAND_COPY_DELAY_MS) }
    try {
        delay(randomDuration(1000, 3000))
        workload.submitUrgentJob(listOf("a", "b").random(random), tasks = random.nextInt(1, MAX_URGENT_TASKS))
        delay(randomDuration(500, 2000))
        workload.cancelSome(random.nextInt(2, MAX_CANCELLED))
        randomWorkers(PAUSED_ONE_IN).forEach { it.pause(randomDuration(500, 4000)) }
        if (random.nextBoolean()) restart(listOfNotNull(cluster.leader), randomDuration(50, 1000))
        delay(randomDuration(1000, 5000))
    } finally {
        affected.forEach { it.faults.commandCopyDelay = { null } }
    }
}

/** Copies of requests to the state service and the cloud, and of users' requests, arrive seconds later. */
internal suspend fun FaultContext.repeatRequests() {
    val copyDelay = copyDelays(MAX_REQUEST_COPY_DELAY_MS)
    withFault(randomDuration(3000, 9000), { setCopyDelay(copyDelay) }, { setCopyDelay { null } })
}

private fun FaultContext.setCopyDelay(copyDelay: () -> Duration?) {
    cluster.membersByName.values.forEach { it.state.copyDelay = copyDelay }
    cluster.cloud.copyDelay = copyDelay
    cluster.users.copyDelay = copyDelay
}

/** Delays of the copies of some of the requests. */
private fun FaultContext.copyDelays(maxMs: Int): () -> Duration? {
    val delays = Random(random.nextInt())
    return { if (delays.nextInt(COPIED_ONE_IN) == 0) delays.nextInt(MIN_COPY_DELAY_MS, maxMs).milliseconds else null }
}

private const val COPIED_ONE_IN = 2
private const val MIN_COPY_DELAY_MS = 500
private const val MAX_COMMAND_COPY_DELAY_MS = 20_000
private const val MAX_REQUEST_COPY_DELAY_MS = 30_000
private const val MAX_URGENT_TASKS = 5
private const val MAX_CANCELLED = 6
private const val PAUSED_ONE_IN = 5
