package topazvale.scheduler

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.Samples.machine
import topazvale.Samples.snapshot
import topazvale.Samples.waiting
import topazvale.model.Market
import topazvale.model.Rank
import topazvale.model.Resources
import topazvale.model.Start
import topazvale.model.TaskId
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Replicas are distributed over machines and zones, and capacity is reserved for future ones. */
class ServicePlacementTest {
    @Test
    fun `replicas are distributed over machines and zones, and prefer on-demand machines`() {
        val anyMarket = Samples.service.copy(spotAllowed = true, spread = false)
        val machines =
            listOf(machine("n-1"), machine("n-2", zone = "b"), machine("n-3"), machine("n-4", zone = "b", spot = true))
        fun hosts(job: WaitingJob) = placement.plan(snapshot(listOf(job), machines)).assignments.map { it.host }.toSet()
        assertEquals(setOf("n-1", "n-2", "n-3"), hosts(waiting(Samples.service)))
        assertEquals(setOf("n-1", "n-2"), hosts(waiting(anyMarket.copy(tasks = 2))))
        val started = waiting(
            Samples.service,
            pendingTasks = 1,
            placedByZone = mapOf("a" to 1, "b" to 1),
        ).copy(placedByHost = mapOf("n-1" to 1, "n-2" to 1))
        assertEquals(setOf("n-3"), hosts(started))
        val fewMachines = placement.plan(
            snapshot(
                listOf(waiting(Samples.service.copy(tasks = 4))),
                listOf(machine("n-1"), machine("n-2", zone = "b")),
            ),
        )
        assertEquals(mapOf("n-1" to 2, "n-2" to 2), fewMachines.assignments.associate { it.host to it.tasks })
    }

    @Test
    fun `capacity is reserved for future replicas in several zones and other jobs may not use it`() {
        val load = ServiceLoad(Samples.service, largestReplicaCount = 4, replicasPerSecond = 0.0)
        val urgent = waiting(Samples.gang.copy(tasks = 1, oneZone = false))
        val machines =
            listOf(
                machine("n-1", spot = false).copy(idleFor = 10.minutes),
                machine("n-2", zone = "b", spot = true).copy(idleFor = 10.minutes),
            )
        val snapshot = snapshot(listOf(urgent), machines).copy(services = listOf(load))
        val plan = placement.plan(snapshot)
        // The gang's 15 CPUs would leave too little on n-1; replicas may not use the spot machine.
        assertEquals(listOf("n-2"), plan.assignments.map { it.host })
        assertEquals(setOf("n-1"), plan.reservedHosts)
        assertEquals(listOf("b" to 2), plan.unreservedReplicas.map { it.spec.zone to it.pendingTasks })
        assertEquals(
            listOf(RentalRequest(Market("plain", "b", false), 1)),
            provisioner().planRentals(snapshot, plan, emptySet(), 10),
        )
        assertEquals(listOf("n-2"), provisioner().planReturns(snapshot, plan.reservedHosts))
        val waitedLong = urgent.copy(
            submitted = Samples.now - 61.seconds,
            spec = urgent.spec.copy(spotAllowed = false),
        )
        // A similar job that has not waited has just found no free capacity.
        val fresh = waitedLong.copy(
            submitted = Samples.now,
            spec = waitedLong.spec.copy(id = "job-3", rank = Rank.CRITICAL),
        )
        val assignments = placement.plan(snapshot.copy(jobs = listOf(fresh, waitedLong))).assignments
        assertEquals(
            listOf(waitedLong.spec.id to "n-1"),
            assignments.map { it.job to it.host },
            "a job that has waited for long may use reserved capacity",
        )
        // A replica uses reserved capacity, and the rest stays reserved.
        val replicaPlan = placement.plan(snapshot.copy(jobs = listOf(waiting(Samples.service.copy(tasks = 2)), urgent)))
        assertEquals(setOf("n-1", "n-2"), replicaPlan.assignments.map { it.host }.toSet())
        assertTrue(replicaPlan.assignments.none { it.job == urgent.spec.id && it.host == "n-1" })
    }

    @Test
    fun `a spread job rents zone by zone and preempts lower ranks in several zones`() {
        val spread = waiting(Samples.service.copy(tasks = 6, need = Resources(5.0, 0.0, 5.0), spotAllowed = true))
        val snapshot = snapshot(listOf(spread), emptyList())
        val requests = provisioner().planRentals(snapshot, placement.plan(snapshot), emptySet(), 10)
        assertEquals(
            mapOf("a" to 1, "b" to 1),
            requests.groupBy {
                it.market.zone
            }.mapValues { (_, inZone) -> inZone.sumOf { it.count } },
        )
        fun small(host: String, index: Int) = ordinaryRelease(
            index,
        ).copy(start = Start(TaskId("job-$host", index), 1), need = spread.spec.need, expectedIn = 100.seconds)

        fun full(host: String, zone: String) = machine(host, zone = zone).copy(
            free = Resources.NONE,
            releases = lazyOf((0..2).map { small(host, it) }),
        )
        val placementPlan = placement.plan(
            snapshot(listOf(spread), listOf(full("n-1", "a"), full("n-2", "a"), full("n-3", "b"))),
        )
        assertEquals(6, placementPlan.preempted.size)
        assertEquals(3, placementPlan.preempted.count { it.task.job == "job-n-3" }, "no more than half in one zone")
    }

    /** Guards against a service that never starts beside room for replicas that nobody has submitted. */
    @Test
    fun `a service that has waited for long uses room that is reserved for other services`() {
        val load = ServiceLoad(Samples.service, largestReplicaCount = 100, replicasPerSecond = 0.0)
        val other = waiting(
            Samples.service.copy(
                id = "job-8",
                queue = "signs",
                tasks = 1,
                need = Resources(10.0, 0.0, 4.0),
                spread = false,
            ),
        )
        for ((waitedFor, starts) in listOf(59.seconds to 0, 61.seconds to 1)) {
            val job = other.copy(submitted = Samples.now - waitedFor)
            val snapshot = snapshot(listOf(job), listOf(machine("n-1"))).copy(services = listOf(load))
            assertEquals(starts, placement.plan(snapshot).assignments.size, "after $waitedFor")
        }
    }
}
