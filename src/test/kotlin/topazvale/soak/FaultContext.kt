package topazvale.soak

import kotlinx.coroutines.delay
import topazvale.emulator.WorkerEmulator
import topazvale.emulator.WorkerFaults
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The cluster, the workload and the random generator that a fault works with. */
class FaultContext(val cluster: SoakCluster, val workload: Workload, val random: Random) {
    /** Draws a duration of at least [minMs] and less than [maxMs] milliseconds. */
    fun randomDuration(minMs: Int, maxMs: Int): Duration = random.nextInt(minMs, maxMs).milliseconds

    /** Draws each running worker with a probability of one in [oneIn]. */
    fun randomWorkers(oneIn: Int): List<WorkerEmulator> = cluster.cloud.workers.filter { random.nextInt(oneIn) == 0 }

    /** Kills the processes and starts them again after [downtime]. */
    suspend fun restart(members: List<SoakMember>, downtime: Duration) = try {
        members.forEach { it.process.kill() }
        delay(downtime)
    } finally {
        members.forEach { it.process.start() }
    }

    /** Pauses the process for [duration]. */
    suspend fun pause(member: SoakMember?, duration: Duration) = try {
        member?.process?.pause()
        delay(duration)
    } finally {
        member?.process?.resume()
    }

    /** Calls [inject], and [clear] after [duration] or when cancelled. */
    suspend fun withFault(duration: Duration, inject: () -> Unit, clear: () -> Unit) = try {
        inject()
        delay(duration)
    } finally {
        clear()
    }

    /** Injects a fault for [duration] between one controller and the state service. */
    suspend fun withStateFault(
        member: SoakMember?,
        duration: Duration,
        inject: StateFaults.() -> Unit,
        clear: StateFaults.() -> Unit,
    ) = withFault(duration, { member?.state?.faults?.inject() }, { member?.state?.faults?.clear() })

    /** Injects a fault for 3 to 9 seconds between every controller and the state service. */
    suspend fun withStateFaultForAll(inject: StateFaults.() -> Unit, clear: StateFaults.() -> Unit) {
        val faults = cluster.membersByName.values.map { it.state.faults }
        withFault(randomDuration(3000, 9000), { faults.forEach(inject) }, { faults.forEach(clear) })
    }

    /** Injects a fault for 2 to 10 seconds into the messages of about one worker in [oneIn]. */
    suspend fun withWorkerFault(oneIn: Int, inject: WorkerFaults.() -> Unit, clear: WorkerFaults.() -> Unit) {
        val affected = randomWorkers(oneIn).map { it.faults }
        withFault(randomDuration(2000, 10_000), { affected.forEach(inject) }, { affected.forEach(clear) })
    }
}
