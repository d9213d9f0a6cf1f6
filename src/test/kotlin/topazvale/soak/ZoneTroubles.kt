package topazvale.soak

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.seconds

/**
 * Urgent work preempts everything else in a zone that has no further machines, so that jobs bound to it go on in another
 * zone. Some machines of the zone fall silent, others are removed, and leaders end meanwhile.
 */
internal suspend fun FaultContext.loseZoneWhileLeadersChange() {
    val zone = listOf("a", "b").random(random)
    val inZone = cluster.cloud.workers.filter { it.market.zone == zone }
    val (silent, others) = inZone.partition { random.nextInt(SILENT_ONE_IN) == 0 }
    cluster.cloud.zonesWithoutCapacity = setOf(zone)
    try {
        workload.submitArraysBoundToOneZone()
        delay(randomDuration(2000, 5000))
        workload.submitUrgentJob(zone, tasks = inZone.size + 1)
        delay(randomDuration(1000, 3000))
        silent.forEach {
            it.faults.dropsReports = true
            it.faults.dropsInbound = random.nextBoolean()
        }
        if (random.nextBoolean()) others.take(2).forEach { cluster.cloud.removeMachine(it.host) }
        repeat(random.nextInt(1, 4)) {
            restart(listOfNotNull(cluster.leader), randomDuration(50, 2500))
            delay(randomDuration(1000, 4000))
        }
    } finally {
        cluster.cloud.zonesWithoutCapacity = emptySet()
        silent.forEach {
            it.faults.dropsReports = false
            it.faults.dropsInbound = false
        }
    }
}

private const val SILENT_ONE_IN = 3

/**
 * Urgent work preempts tasks that save for longer than a cancellation may take, in a zone that has no further machines.
 * Their job is cancelled while they save, at times after a change of leader or while no direct command arrives.
 */
internal suspend fun FaultContext.cancelSavingTasks() {
    val zone = listOf("a", "b").random(random)
    val inZone = cluster.cloud.workers.filter { it.market.zone == zone }
    val withoutCommands = inZone.filter { random.nextInt(MANY_DIVISOR) == 0 }
    cluster.cloud.zonesWithoutCapacity = setOf(zone)
    val saving = workload.submitLongSavingArray(zone, tasks = inZone.size * TASKS_PER_MACHINE)
    try {
        delay(randomDuration(2000, 4000))
        workload.submitUrgentJob(zone, tasks = inZone.size + 1)
        withTimeoutOrNull(PREEMPTION_LIMIT) {
            while (inZone.none { it.savingTasks.isNotEmpty() }) delay(randomDuration(50, 500))
        }
        withoutCommands.forEach { it.faults.dropsCommands = true }
        if (random.nextBoolean()) restart(listOfNotNull(cluster.leader), randomDuration(50, 2500))
        workload.cancelOnceAccepted(saving)
        delay(randomDuration(2000, 6000))
    } finally {
        workload.cancelOnceAccepted(saving)
        cluster.cloud.zonesWithoutCapacity = emptySet()
        withoutCommands.forEach { it.faults.dropsCommands = false }
    }
}

private const val TASKS_PER_MACHINE = 3
private val PREEMPTION_LIMIT = 6.seconds
