package topazvale.scheduler

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.Samples.machine
import topazvale.Samples.snapshot
import topazvale.Samples.waiting
import topazvale.model.JobSpec
import topazvale.model.MachineType
import topazvale.model.Market
import topazvale.model.Objective
import topazvale.model.ObjectiveKind
import topazvale.model.Rank
import topazvale.model.Resources
import topazvale.model.Start
import topazvale.model.TaskId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class SchedulerTest {
    private val slack = UrgencySlack(alpha = 4.0, bootAllowance = 60.seconds)
    private val placement = Placement()

    private fun provisioner(bids: BidStrategy = LowestInWindow(10.minutes, 0.001)) =
        Provisioner(slack, bids, keep = 45.seconds)

    private fun rents(snapshot: Snapshot, job: WaitingJob, bids: BidStrategy = LowestInWindow(10.minutes, 0.001)) =
        provisioner(bids).rents(snapshot, PlacementPlan(emptyList(), listOf(job)), emptySet(), mostPerRent = 10)

    /** An ordinary task that takes a whole plain machine, and loses little when it is stopped. */
    private fun ordinaryRelease(index: Int) = CapacityRelease(
        Start(TaskId("job-9", index), 1),
        Samples.plain.capacity,
        60.seconds,
        Rank.NORMAL,
        1.seconds,
    )

    /** A plain machine that is full, and free again after [within]. */
    private fun soonFree(host: String, within: Duration, zone: String = "a") = machine(host, zone = zone).copy(
        free = Resources.NONE,
        releases = lazyOf(listOf(CapacityRelease(null, Samples.plain.capacity, within))),
    )

    @Test
    fun `slack is what is left after alpha run times and a boot`() {
        // deadline in, estimate, slack
        val cases = listOf(
            Triple(300.seconds, 20.seconds, 160.seconds),
            Triple(140.seconds, 20.seconds, 0.seconds),
            Triple(10.seconds, 20.seconds, 0.seconds),
            Triple(141.seconds, 20.seconds, 1.seconds),
        )
        for ((due, estimate, expected) in cases) {
            val job = waiting(Samples.array, deadline = due).copy(estimate = estimate)
            assertEquals(expected, slack.slack(job, Samples.now), "deadline in $due")
        }
        assertEquals(0.seconds, slack.slack(waiting(Samples.array), Samples.now), "no deadline")
    }

    @Test
    fun `the bid follows the lowest price of the window until a job is urgent`() {
        val bids = LowestInWindow(10.minutes, 0.001)
        bids.seen("gpu", 3.0, Samples.now)
        bids.seen("gpu", 4.0, Samples.now + 5.minutes)
        // after, urgent, bid
        val cases = listOf(
            Triple(5.minutes, false, 3.001),
            Triple(5.minutes, true, 4.001),
            Triple(11.minutes, false, 4.001),
        )
        for ((after, urgent, expected) in cases) {
            assertEquals(
                expected,
                bids.bid("gpu", 4.0, urgent, Samples.now + after),
                1e-9,
                "after $after, urgent $urgent",
            )
        }
    }

    @Test
    fun `gangs start whole, in one zone where they have to`() {
        data class Case(val name: String, val zones: List<String>, val oneZone: Boolean, val placed: Int)
        val cases = listOf(
            Case("room in one zone", listOf("a", "a"), true, 2),
            Case("room in two zones", listOf("a", "b"), true, 0),
            Case("two zones will do", listOf("a", "b"), false, 2),
            Case("too little room", listOf("a"), false, 0),
        )
        for (c in cases) {
            val machines = c.zones.mapIndexed { i, zone -> machine("n-$i", zone = zone) }
            val plan = placement.plan(snapshot(listOf(waiting(Samples.gang.copy(oneZone = c.oneZone))), machines))
            assertEquals(c.placed, plan.assignments.sumOf { it.tasks }, c.name)
        }
    }

    @Test
    fun `a start breaks no rule of its job`() {
        data class Case(
            val name: String,
            val job: WaitingJob,
            val machine: MachineState,
            val usage: Resources,
            val placed: Int,
        )
        val array = Samples.array
        val gpu = machine("n-1", Samples.gpu)
        val spotGpu = machine("n-1", Samples.gpu, spot = true)

        fun begun(spec: JobSpec, zone: String) = waiting(spec, pending = 3, placedIn = mapOf(zone to 1))
        val cases = listOf(
            Case("fits", waiting(array), gpu, Resources.NONE, 4),
            Case("limit of the team", waiting(array), gpu, Resources(30.0, 6.0, 0.0), 2),
            Case("limit used up", waiting(array), gpu, Resources(30.0, 8.0, 0.0), 0),
            Case("type", waiting(array.copy(types = listOf("plain"))), gpu, Resources.NONE, 0),
            Case("zone", waiting(array.copy(zone = "b")), gpu, Resources.NONE, 0),
            Case("no spot", waiting(array.copy(spotAllowed = false)), spotGpu, Resources.NONE, 0),
            Case("spread", waiting(array.copy(spread = true)), gpu, Resources.NONE, 2),
            Case("spread, some placed", begun(array.copy(spread = true), "a"), gpu, Resources.NONE, 1),
            Case("one zone, begun elsewhere", begun(array.copy(oneZone = true), "b"), gpu, Resources.NONE, 0),
            Case("machine not up", waiting(array), machine("n-1", Samples.gpu, up = false), Resources.NONE, 0),
        )
        for (c in cases) {
            val plan = placement.plan(snapshot(listOf(c.job), listOf(c.machine), mapOf("red" to c.usage)))
            assertEquals(c.placed, plan.assignments.sumOf { it.tasks }, c.name)
        }
    }

    @Test
    fun `higher ranks come first and images in the cache are used`() {
        val normal = waiting(Samples.array.copy(need = Resources(16.0, 0.0, 20.0), tasks = 1, team = "red"))
        val urgent = waiting(Samples.gang.copy(tasks = 1, need = Resources(16.0, 0.0, 20.0)))
        val plan = placement.plan(snapshot(listOf(normal, urgent), listOf(machine("n-1"))))
        assertEquals(listOf(Assignment("job-2", "n-1", 1)), plan.assignments)

        val cached = machine("n-2").copy(images = setOf("img"))
        val one = placement.plan(snapshot(listOf(urgent), listOf(machine("n-1"), cached)))
        assertEquals("n-2", one.assignments.single().host)
    }

    @Test
    fun `images that are fetched at the same time share the rate`() {
        // gigabytes on their way to n-1, whether n-2 is fetching the very image, the machine taken
        val cases = listOf(
            Triple(emptyMap(), emptyMap(), "n-1"),
            Triple(mapOf("other" to 3.0), emptyMap(), "n-2"),
            Triple(emptyMap(), mapOf("img" to 1.0, "other" to 3.0), "n-1"),
            Triple(mapOf("other" to 4.0), mapOf("img" to 1.0, "other" to 3.0), "n-2"),
        )
        for ((first, second, taken) in cases) {
            fun busy(host: String, arriving: Map<String, Double>) =
                machine(host).copy(images = arriving.keys, arriving = arriving)

            val job = waiting(Samples.gang.copy(tasks = 1))
            val plan = placement.plan(snapshot(listOf(job), listOf(busy("n-1", first), busy("n-2", second))))
            assertEquals(taken, plan.assignments.single().host, "$first, $second")
        }
    }

    @Test
    fun `lower ranks make room for urgent jobs, and only they`() {
        val smallTask = Resources(4.0, 0.0, 4.0)

        fun running(index: Int, rank: Rank, lost: Duration?, stopping: Boolean) =
            CapacityRelease(Start(TaskId("job-9", index), 1), smallTask, 60.seconds, rank, lost, stopping)

        fun four(rank: Rank, lost: (Int) -> Duration?, stopping: Boolean = false) =
            (0..3).map { running(it, rank, lost(it), stopping) }
        data class Case(val name: String, val rank: Rank, val releases: List<CapacityRelease>, val stopped: List<Int>?)
        val cases = listOf(
            Case("the least work lost", Rank.URGENT, four(Rank.NORMAL, { (10 - it).seconds }), listOf(3, 2, 1, 0)),
            Case("same rank", Rank.URGENT, four(Rank.URGENT, { 1.seconds }), null),
            Case("not urgent", Rank.NORMAL, four(Rank.IDLE, { 1.seconds }), null),
            Case("stopping already", Rank.URGENT, four(Rank.NORMAL, { 1.seconds }, stopping = true), emptyList()),
            Case("gangs are spared", Rank.URGENT, four(Rank.NORMAL, { null }), null),
        )
        for (c in cases) {
            val full = machine("n-1").copy(free = Resources(0.0, 0.0, 48.0), releases = lazyOf(c.releases))
            val job = waiting(Samples.gang.copy(tasks = 1, rank = c.rank))
            val plan = placement.plan(snapshot(listOf(job), listOf(full)))
            assertEquals(c.stopped.orEmpty(), plan.preempted.map { it.task.index }, c.name)
            assertEquals(c.stopped == null, plan.unplaced.isNotEmpty(), c.name)
        }
    }

    @Test
    fun `jobs that can still be in time come first, the shortest before the others`() {
        fun job(id: String, due: Int, tasks: Int) =
            waiting(Samples.array.copy(id = id, tasks = tasks), deadline = due.seconds)

        val jobs = listOf(job("job-late", 5, 1), job("job-long", 60, 12), job("job-short", 90, 2))
        val order = JobOrder().sorted(snapshot(jobs, emptyList())).map { it.spec.id }
        assertEquals(listOf("job-short", "job-long", "job-late"), order)
    }

    /** First come, first served makes every job late once more is asked than can be done. */
    @Test
    fun `jobs that can still keep an objective come before those that have missed it, the smallest first`() {
        fun job(id: String, waited: Int, tasks: Int) =
            waiting(Samples.gang.copy(id = id, tasks = tasks)).copy(submitted = Samples.now - waited.seconds)

        val expected = listOf(5, 50).map { Objective(Samples.gang.queue, ObjectiveKind.STARTED, it.seconds, 1.0) }
        val jobs =
            listOf(job("job-missed", 60, 1), job("job-late", 20, 2), job("job-large", 2, 8), job("job-small", 1, 2))
        fun order(jobs: List<WaitingJob>, placed: Int) = JobOrder().sorted(
            snapshot(jobs, emptyList()).copy(
                objectives = mapOf(Samples.gang.queue to expected),
                placed = mapOf(Samples.gang.queue to placed),
            ),
        ).map { it.spec.id }
        assertEquals(listOf("job-small", "job-large", "job-late", "job-missed"), order(jobs, placed = 20))
        assertEquals(
            listOf("job-missed", "job-late", "job-large", "job-small"),
            order(jobs, placed = 200),
            "few wait: in turn",
        )
        val starving = job("job-starving", 151, 8)
        assertEquals("job-starving", order(jobs + starving, placed = 20).first(), "but not for ever")
    }

    /** Each job took the next free machine and fetched there, until all machines fetched and few ran anything. */
    @Test
    fun `ordinary work waits for machines that have its image, if enough of them will soon be free`() {
        data class Case(
            val name: String,
            val running: Int,
            val arriving: Map<String, Double>,
            val waited: Int,
            val placed: Int,
        )
        val cases = listOf(
            Case("nothing runs with the image", 0, emptyMap(), 1, 4),
            Case("half as much runs", 2, emptyMap(), 1, 2),
            Case("as much runs", 4, emptyMap(), 1, 0),
            Case("another image is being fetched", 0, mapOf("other" to 5.0), 1, 0),
            Case("it is being fetched", 4, mapOf("img" to 0.1), 1, 4),
            Case("it starves", 4, mapOf("other" to 5.0), 100, 1),
        )
        for (c in cases) {
            val job = waiting(Samples.array.copy(imageGb = 5.0)).copy(submitted = Samples.now - c.waited.seconds)
            val free = machine("n-1", Samples.gpu).copy(arriving = c.arriving)
            val plan = placement.plan(snapshot(listOf(job), listOf(free)).copy(running = mapOf("img" to c.running)))
            assertEquals(c.placed, plan.assignments.sumOf { it.tasks }, c.name)
        }
    }

    /** Urgent gangs without GPUs had all machines with GPUs while arrays with GPUs waited for minutes. */
    @Test
    fun `machines with GPUs belong first to work that needs them`() {
        val gang = waiting(Samples.gang.copy(tasks = 2))
        val array = waiting(Samples.array.copy(id = "job-8", tasks = 4, need = Resources(6.0, 1.0, 24.0)))
        val plan = placement.plan(
            snapshot(listOf(gang, array), listOf(machine("n-1", Samples.gpu), machine("n-2", Samples.gpu))),
        )
        assertEquals(
            mapOf("job-8" to 4),
            plan.assignments.groupBy {
                it.job
            }.mapValues { (_, a) -> a.sumOf { it.tasks } },
        )
        val early = array.copy(deadline = Samples.now + 300.seconds)
        val easy = placement.plan(
            snapshot(listOf(gang, early), listOf(machine("n-1", Samples.gpu), machine("n-2", Samples.gpu))),
        )
        assertEquals(
            2,
            easy.assignments.filter {
                it.job == "job-2"
            }.sumOf { it.tasks },
            "while it would be in time all the same it waits",
        )
        val plain = (3..4).map { machine("n-$it") }
        val more = placement.plan(snapshot(listOf(gang, array), listOf(machine("n-1", Samples.gpu)) + plain))
        assertEquals(setOf("n-3", "n-4"), more.assignments.filter { it.job == "job-2" }.map { it.host }.toSet())
    }

    @Test
    fun `what has waited for long without a beginning goes first, what has begun only in its rank`() {
        fun job(id: String, waited: Int, tasks: Int, begun: Boolean = false, rank: Rank = Rank.NORMAL) =
            waiting(Samples.array.copy(id = id, tasks = tasks, rank = rank), deadline = 600.seconds)
                .copy(submitted = Samples.now - waited.seconds, begun = begun)
        val jobs = listOf(
            job("job-small", 5, 1),
            job("job-begun", 130, 50, begun = true),
            job("job-large", 100, 100),
            job("job-larger", 120, 200),
            job("job-old", 190, 300, begun = true),
            job("job-urgent", 1, 1, rank = Rank.URGENT),
        )
        val order = JobOrder().sorted(snapshot(jobs, emptyList())).map { it.spec.id }
        assertEquals(listOf("job-larger", "job-large", "job-urgent", "job-old", "job-small", "job-begun"), order)
    }

    @Test
    fun `a job that goes before all others gets a beginning, not everything`() {
        val large = waiting(Samples.array.copy(tasks = 40, need = Resources(2.0, 0.0, 4.0)))
        val machines = (1..10).map { machine("n-$it") }
        assertEquals(40, placement.plan(snapshot(listOf(large), machines)).assignments.sumOf { it.tasks })
        val starving = large.copy(submitted = Samples.now - 100.seconds)
        assertEquals(10, placement.plan(snapshot(listOf(starving), machines)).assignments.sumOf { it.tasks })
    }

    @Test
    fun `room is held for a gang that will soon have the rest, or has waited for long`() {
        data class Case(val name: String, val freeIn: Int, val waited: Int, val zone: String, val small: Int)
        val cases = listOf(
            Case("the rest comes soon", 20, 1, "a", 0),
            Case("the rest comes late", 200, 1, "a", 1),
            Case("the rest comes late, and it has waited", 200, 100, "a", 0),
            Case("the rest is in another zone", 20, 1, "b", 1),
        )
        for (c in cases) {
            val free = machine("n-1")
            val busy = soonFree("n-2", c.freeIn.seconds, zone = c.zone)
            val large = waiting(Samples.gang).copy(submitted = Samples.now - c.waited.seconds)
            val small = waiting(Samples.gang.copy(id = "job-9", tasks = 1))
            val plan = placement.plan(snapshot(listOf(small, large), listOf(free, busy)))
            assertEquals(c.small, plan.assignments.sumOf { it.tasks }, c.name)
        }
    }

    /** While GPU work waits a gang is tried on plain machines first, and holds what it finds there. */
    @Test
    fun `a gang may use what is held for it together with machines with GPUs`() {
        val gang = waiting(Samples.gang).copy(submitted = Samples.now - 100.seconds)
        val array = waiting(Samples.array.copy(id = "job-8"), deadline = 600.seconds)
        val plan = placement.plan(snapshot(listOf(gang, array), listOf(machine("n-1"), machine("n-2", Samples.gpu))))
        assertEquals(setOf("n-1", "n-2"), plan.assignments.filter { it.job == "job-2" }.map { it.host }.toSet())
    }

    /** A large gang that only plain machines were kept for waited for more than four minutes. */
    @Test
    fun `a starving gang has machines with GPUs before GPU work that will soon be late`() {
        val array = waiting(Samples.array.copy(id = "job-8"))
        for ((waited, first) in listOf(10 to "job-8", 100 to "job-2")) {
            val gang = waiting(Samples.gang.copy(tasks = 1)).copy(submitted = Samples.now - waited.seconds)
            val s = snapshot(
                listOf(gang, array),
                listOf(machine("n-1", Samples.gpu)),
            ).copy(placed = mapOf("reports" to 100))
            assertEquals(first, placement.plan(s).assignments.first().job, "waited $waited s")
        }
    }

    @Test
    fun `held room is as much as the gang needs and no more`() {
        val free = (1..6).map { machine("n-$it") }
        val other = (7..9).map { machine("n-$it", zone = "b") }
        val large = waiting(Samples.gang.copy(tasks = 7)).copy(submitted = Samples.now - 100.seconds)
        val small = (1..9).map { waiting(Samples.gang.copy(id = "job-1$it", tasks = 1)) }
        val plan = placement.plan(snapshot(small + large, free + other))
        assertEquals(listOf("n-7", "n-8", "n-9"), plan.assignments.map { it.host }, "six are held, three are not")
        assertTrue(
            plan.free.isEmpty() || free.all {
                plan.free[it.host] ?: it.free == it.free
            },
            "what is held is not rented again",
        )
    }

    @Test
    fun `what could be stopped for a waiting gang is not stopped for a smaller one`() {
        val stoppable = (1..2).map {
            machine("n-$it").copy(free = Resources.NONE, releases = lazyOf(listOf(ordinaryRelease(it))))
        }
        val large = waiting(Samples.gang.copy(tasks = 3)).copy(submitted = Samples.now - 100.seconds)
        val small = waiting(Samples.gang.copy(id = "job-9", tasks = 1))
        assertEquals(0, placement.plan(snapshot(listOf(small, large), stoppable)).preempted.size)
        assertEquals(1, placement.plan(snapshot(listOf(small), stoppable)).preempted.size)
    }

    @Test
    fun `a starving job does not keep urgent ones from having something stopped`() {
        val runs = ordinaryRelease(1)
        val full = machine("n-1").copy(free = Resources.NONE, releases = lazyOf(listOf(runs)))
        val starving = waiting(Samples.array.copy(id = "job-8", types = listOf("gpu"))).copy(
            submitted =
            Samples.now - 100.seconds,
        )
        val urgent = waiting(Samples.gang.copy(tasks = 1))
        assertEquals(1, placement.plan(snapshot(listOf(starving, urgent), listOf(full))).preempted.size)
    }

    @Test
    fun `urgent work without GPUs stops ordinary work rather than take a machine with GPUs`() {
        val runs = ordinaryRelease(0)
        val plain = machine("n-1").copy(free = Resources.NONE, releases = lazyOf(listOf(runs)))
        val gpu = machine("n-2", Samples.gpu)
        val job = waiting(Samples.gang.copy(tasks = 1))
        assertEquals(1, placement.plan(snapshot(listOf(job), listOf(plain, gpu))).preempted.size)
        val full = plain.copy(releases = lazyOf(emptyList()))
        assertEquals("n-2", placement.plan(snapshot(listOf(job), listOf(full, gpu))).assignments.single().host)
        val busy = gpu.copy(free = Resources.NONE, releases = lazyOf(listOf(runs.copy(need = Samples.gpu.capacity))))
        assertEquals(1, placement.plan(snapshot(listOf(job), listOf(full, busy))).preempted.size)
        val pressing = busy.copy(releases = lazyOf(listOf(runs.copy(need = Samples.gpu.capacity, pressing = true))))
        assertEquals(
            0,
            placement.plan(snapshot(listOf(job), listOf(full, pressing))).preempted.size,
            "it would be back at once",
        )
        val wanting = waiting(Samples.array.copy(id = "job-8", types = listOf("gpu")), deadline = 600.seconds)
        assertEquals(
            0,
            placement.plan(snapshot(listOf(job, wanting), listOf(full, busy))).preempted.size,
            "more work with GPUs waits",
        )
    }

    @Test
    fun `work without GPUs leaves the processors that free GPUs will want`() {
        val cpuOnly = Samples.array.copy(need = Resources(2.0, 0.0, 4.0), tasks = 100)
        val plan = placement.plan(snapshot(listOf(waiting(cpuOnly)), listOf(machine("n-1", Samples.gpu))))
        assertEquals(2, plan.assignments.sumOf { it.tasks }, "24 processors, 4 GPUs that want 5 each")
    }

    @Test
    fun `urgent jobs make room where the image is rather than fetch it for long`() {
        val job = waiting(Samples.gang.copy(tasks = 1, imageGb = 5.0))
        val runs = ordinaryRelease(0)
        val cached = machine("n-1").copy(free = Resources.NONE, releases = lazyOf(listOf(runs)), images = setOf("img"))
        val empty = machine("n-2")
        assertEquals(1, placement.plan(snapshot(listOf(job), listOf(cached, empty))).preempted.size)
        val short = job.copy(spec = job.spec.copy(imageGb = 1.0))
        assertEquals("n-2", placement.plan(snapshot(listOf(short), listOf(cached, empty))).assignments.single().host)
    }

    @Test
    fun `while slack lasts only spot below the bid is rented`() {
        val dear = LowestInWindow(10.minutes, 0.001).also {
            it.seen("plain", 0.3, Samples.now)
            it.seen("gpu", 1.0, Samples.now)
        }
        data class Case(
            val name: String,
            val due: Int,
            val spotAllowed: Boolean,
            val bids: BidStrategy,
            val spot: Boolean?,
        )
        val even = LowestInWindow(10.minutes, 0.001)
        val cases = listOf(
            Case("slack, price at its lowest", 600, true, even, true),
            Case("slack, price above the bid", 600, true, dear, null),
            Case("no slack, price above", 60, true, dear, true),
            Case("slack, spot not allowed", 600, false, even, null),
            Case("no slack, spot not allowed", 60, false, even, false),
        )
        for (c in cases) {
            val job = waiting(Samples.array.copy(spotAllowed = c.spotAllowed), deadline = c.due.seconds)
            val rents = rents(snapshot(listOf(job), emptyList()), job, c.bids)
            assertEquals(c.spot, rents.firstOrNull()?.market?.spot, c.name)
        }
    }

    @Test
    fun `steady machines cover spot shortfalls`() {
        val job = waiting(Samples.gang)
        val s = snapshot(listOf(job), emptyList())
        val refused = HashSet<Market>()
        val order = generateSequence {
            provisioner().rents(s, PlacementPlan(emptyList(), listOf(job)), refused, 10).firstOrNull()?.also {
                refused +=
                    it.market
            }
        }.toList()
        assertEquals(
            listOf("plain" to true, "plain" to true, "plain" to false, "plain" to false),
            order.take(4).map {
                it.market.type to
                    it.market.spot
            },
        )
        assertEquals(2, order.first().count, "a gang is rented whole in one market")
    }

    @Test
    fun `room that is coming is not rented twice`() {
        val job = waiting(Samples.gang.copy(tasks = 1))
        val booting = machine("n-1", up = false)
        val release = soonFree("n-2", 5.seconds)
        for (m in listOf(booting, release)) {
            assertTrue(rents(snapshot(listOf(job), listOf(m)), job).isEmpty(), m.host)
        }
    }

    @Test
    fun `how soon is soon depends on the deadline`() {
        // deadline, seconds until the machine is free, rented; the estimate is 20 s, the fetch 2 s, a boot 30 s
        val cases =
            listOf(Triple(null, 29, 0), Triple(null, 31, 1), Triple(100, 57, 0), Triple(100, 59, 1), Triple(10, 29, 0))
        for ((deadline, free, rented) in cases) {
            val job =
                waiting(Samples.array.copy(tasks = 1, need = Resources(5.0, 0.0, 5.0)), deadline = deadline?.seconds)
            val busy = soonFree("n-1", free.seconds)
            val rents = rents(snapshot(listOf(job), listOf(busy)), job)
            assertEquals(rented, rents.sumOf { it.count }, "deadline $deadline, free in $free")
        }
    }

    @Test
    fun `work on the wrong machines has plain ones rented for what follows it`() {
        val s = snapshot(emptyList(), listOf(machine("n-1", Samples.gpu))).copy(misplaced = listOf(Samples.gang))
        assertEquals("plain", provisioner().rents(s, NOTHING, emptySet(), 10).single().market.type)
        val relieved = s.copy(machines = s.machines + machine("n-2"))
        assertTrue(provisioner().rents(relieved, NOTHING, emptySet(), 10).isEmpty())
    }

    @Test
    fun `the dearer a machine the sooner it goes back`() {
        val idle = { host: String, type: MachineType, seconds: Int ->
            machine(host, type).copy(idleFor = seconds.seconds)
        }
        val machines =
            listOf(idle("n-1", Samples.gpu, 46), idle("n-2", Samples.plain, 46), idle("n-3", Samples.plain, 181))
        assertEquals(listOf("n-1", "n-3"), provisioner().returns(snapshot(emptyList(), machines), emptySet()))
    }

    private companion object {
        val NOTHING = PlacementPlan(emptyList(), emptyList())
    }

    @Test
    fun `the rest of a job is bound by what it got a moment ago in the same plan`() {
        val gpuWork =
            waiting(
                Samples.array.copy(id = "job-8", need = Resources(1.0, 1.0, 1.0), tasks = 1, types = listOf("none")),
            )
        val array = Samples.array.copy(need = Resources(5.0, 0.0, 5.0), tasks = 6)
        data class Case(val name: String, val job: WaitingJob, val gpuZone: String, val placed: Int)
        val cases = listOf(
            Case("free", waiting(array), "a", 6),
            Case("spread, all in one zone", waiting(array.copy(spread = true)), "a", 3),
            Case("spread over two zones", waiting(array.copy(spread = true)), "b", 6),
            Case("bound to one zone", waiting(array.copy(oneZone = true)), "b", 3),
            Case("bound to one zone, room there", waiting(array.copy(oneZone = true)), "a", 6),
            Case(
                "a spread service",
                waiting(Samples.service.copy(tasks = 6, need = array.need, spotAllowed = true)),
                "a",
                3,
            ),
        )
        for (c in cases) {
            val machines = listOf(machine("n-1"), machine("n-2", Samples.gpu, zone = c.gpuZone))
            val plan = placement.plan(
                snapshot(listOf(gpuWork, c.job.copy(estimate = 20.seconds)), machines).copy(cpusPerGpu = 0.0),
            )
            assertEquals(c.placed, plan.assignments.filter { it.job == c.job.spec.id }.sumOf { it.tasks }, c.name)
        }
    }

    @Test
    fun `replicas lie apart, on steady machines where they may choose`() {
        val free = Samples.service.copy(spotAllowed = true, spread = false)
        val machines =
            listOf(machine("n-1"), machine("n-2", zone = "b"), machine("n-3"), machine("n-4", zone = "b", spot = true))
        fun hosts(job: WaitingJob) = placement.plan(snapshot(listOf(job), machines)).assignments.map { it.host }.toSet()
        assertEquals(setOf("n-1", "n-2", "n-3"), hosts(waiting(Samples.service)))
        assertEquals(setOf("n-1", "n-2"), hosts(waiting(free.copy(tasks = 2))))
        val begun = waiting(
            Samples.service,
            pending = 1,
            placedIn = mapOf("a" to 1, "b" to 1),
        ).copy(placedOn = mapOf("n-1" to 1, "n-2" to 1))
        assertEquals(setOf("n-3"), hosts(begun))
        val fewMachines = placement.plan(
            snapshot(
                listOf(waiting(Samples.service.copy(tasks = 4))),
                listOf(machine("n-1"), machine("n-2", zone = "b")),
            ),
        )
        assertEquals(mapOf("n-1" to 2, "n-2" to 2), fewMachines.assignments.associate { it.host to it.tasks })
    }

    @Test
    fun `room is kept for replicas to come, in several zones, from all that is not one`() {
        val load = ServiceLoad(Samples.service, largest = 4, perSecond = 0.0)
        val urgent = waiting(Samples.gang.copy(tasks = 1, oneZone = false))
        val machines =
            listOf(
                machine("n-1", spot = false).copy(idleFor = 10.minutes),
                machine("n-2", zone = "b", spot = true).copy(idleFor = 10.minutes),
            )
        val s = snapshot(listOf(urgent), machines).copy(services = listOf(load))
        val plan = placement.plan(s)
        // The gang's 15 processors would leave too little on n-1; replicas may not use the spot machine.
        assertEquals(listOf("n-2"), plan.assignments.map { it.host })
        assertEquals(setOf("n-1"), plan.reserved)
        assertEquals(listOf("b" to 2), plan.unreserved.map { it.spec.zone to it.pending })
        assertEquals(listOf(Rent(Market("plain", "b", false), 1)), provisioner().rents(s, plan, emptySet(), 10))
        assertEquals(listOf("n-2"), provisioner().returns(s, plan.reserved))
        val waitsTooLong = urgent.copy(
            submitted = Samples.now - 61.seconds,
            spec = urgent.spec.copy(spotAllowed = false),
        )
        // Another like it has just found all full.
        val fresh = waitsTooLong.copy(
            submitted = Samples.now,
            spec = waitsTooLong.spec.copy(id = "job-3", rank = Rank.CRITICAL),
        )
        val both = placement.plan(s.copy(jobs = listOf(fresh, waitsTooLong))).assignments
        assertEquals(
            listOf(waitsTooLong.spec.id to "n-1"),
            both.map {
                it.job to it.host
            },
            "nobody waits for long beside it",
        )
        // A replica takes what is kept, and the rest stays kept.
        val replica = placement.plan(s.copy(jobs = listOf(waiting(Samples.service.copy(tasks = 2)), urgent)))
        assertEquals(setOf("n-1", "n-2"), replica.assignments.map { it.host }.toSet())
        assertTrue(replica.assignments.none { it.job == urgent.spec.id && it.host == "n-1" })
    }

    @Test
    fun `a spread job rents zone by zone, and has lower ranks stopped in several`() {
        val spread = waiting(Samples.service.copy(tasks = 6, need = Resources(5.0, 0.0, 5.0), spotAllowed = true))
        val s = snapshot(listOf(spread), emptyList())
        val rents = provisioner().rents(s, placement.plan(s), emptySet(), 10)
        assertEquals(
            mapOf("a" to 1, "b" to 1),
            rents.groupBy {
                it.market.zone
            }.mapValues { (_, r) -> r.sumOf { it.count } },
        )
        fun small(host: String, index: Int) = ordinaryRelease(
            index,
        ).copy(start = Start(TaskId("job-$host", index), 1), need = spread.spec.need, within = 100.seconds)

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
}
