package topazvale.scheduler

import org.junit.jupiter.api.Assertions.assertDoesNotThrow
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.config.Settings
import topazvale.config.SettingsTest
import topazvale.model.Clocks
import topazvale.model.JobRecord
import topazvale.model.JobSpec
import topazvale.model.JobStatus
import topazvale.model.MachineType
import topazvale.model.Market
import topazvale.model.Start
import topazvale.model.TaskId
import topazvale.reconcile.PlacementOrigin
import topazvale.reconcile.RunTimes
import topazvale.reconcile.SnapshotBuilder
import topazvale.reconcile.TermFixture
import topazvale.store.JobRecords
import topazvale.wire.Cbor
import topazvale.wire.CloudWire
import topazvale.wire.JobWire
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Plans with the smallest and the largest numbers that users and the cloud may send. */
class PlanBordersTest {
    private val settings = Settings.parse(SettingsTest.TEXT)

    /** Every combination of border values of the fields that a plan calculates with, read back from its record. */
    private fun jobs(): List<JobSpec> {
        val fields = mapOf(
            "sizeGb" to BORDERS,
            "expectS" to BORDERS,
            "dueS" to BORDERS,
            "flushS" to listOf(0.0, LARGEST),
            "cores" to listOf(0.0, SMALLEST, 5.0),
            "shape" to listOf("sweep", "gang", "service"),
            "rank" to listOf("normal", "urgent"),
            "oneZone" to listOf(false, true),
        )
        var bodies = listOf(JobWire.encodeSpec(Samples.array.copy(tasks = 2)) + mapOf("memoryGb" to 0.0, "gpus" to 0.0))
        for ((field, values) in fields) bodies = bodies.flatMap { body -> values.map { body + (field to it) } }
        return bodies.mapIndexed { index, body ->
            val submitted = JobWire.decodeSubmission(Cbor.encode(body + ("uid" to "job-$index")))
            val record = JobRecords.encode(JobRecord(submitted, Samples.now, JobStatus.LIVE))
            JobRecords.decode(Cbor.decodeMap(Cbor.encode(record))).spec
        }
    }

    private fun machineTypes(price: Double, fetchRate: Double, boot: Double): List<MachineType> {
        val type = mapOf(
            "sku" to "plain", "cores" to 16.0, "gpus" to 0.0, "memoryGb" to 64.0, "cacheGb" to 50.0,
            "fetchGbPerS" to fetchRate, "hourly" to price, "marketPrice" to price, "readyS" to boot,
            "halls" to listOf("a", "b"),
        )
        return CloudWire.decodeMachineTypes(Cbor.encode(mapOf("flavors" to listOf(type))))
    }

    private fun plan(jobs: List<JobSpec>, types: List<MachineType>) {
        val cluster = TermFixture().cluster
        cluster.types = types.associateBy { it.name }
        for (spec in jobs) cluster.addJob(JobRecord(spec, Samples.now, JobStatus.LIVE), 1)
        cluster.addMachines("r", Market("plain", "a", spot = false), Samples.now, listOf("n-1", "n-2"), true)
        for (machine in cluster.machines.values) machine.lastAnsweredReportAt = Clocks.SYSTEM.mark()
        val start = Start(TaskId(jobs.first().id, 0), 1)
        cluster.place(start, cluster.machines.getValue("n-1"), 0, PlacementOrigin.STARTED)
        val snapshots = SnapshotBuilder(settings, cluster, token = 7, RunTimes(), Clocks.SYSTEM)
        val provisioner = Provisioner(UrgencySlack(4.0, 60.seconds), WindowMinimumBid(10.minutes, 0.001), 15.seconds)
        for (age in listOf(0.seconds, 5.minutes)) {
            val snapshot = snapshots.build(Samples.now + age, forProvisioning = true)
            val plan = Placement().plan(snapshot)
            provisioner.planRentals(snapshot, plan, refused = emptySet(), maxMachines = 200)
            provisioner.planReturns(snapshot, plan.reservedHosts)
        }
    }

    /** Guards against a plan that fails, and so ends each term, because of an infinite or undefined number. */
    @Test
    fun `a plan can be made with every number that users and the cloud may send`() {
        val borders = listOf(0.0, SMALLEST, 1.0, LARGEST)
        for (price in borders) {
            for (rate in borders) {
                for (boot in borders) {
                    val name = "price $price, fetch rate $rate, boot time $boot"
                    assertDoesNotThrow({ plan(jobs(), machineTypes(price, rate, boot)) }, name)
                }
            }
        }
    }

    private companion object {
        const val SMALLEST = Double.MIN_VALUE
        const val LARGEST = Double.MAX_VALUE
        val BORDERS = listOf(0.0, SMALLEST, 1e9, LARGEST)
    }
}
