package topazvale.reconcile

import topazvale.model.Clocks
import topazvale.state.StateService
import topazvale.store.RecordWriter
import kotlin.time.ComparableTimeMark

/** Learns of jobs that users submit and cancel, and moves to their final key those that are over. */
class JobLifecycle(
    state: StateService,
    records: RecordWriter,
    cluster: ClusterState,
    clocks: Clocks,
    wake: () -> Unit,
) {
    private val watch = JobWatch(state, cluster.registry, clocks, wake)
    private val finalizer = JobFinalizer(state, records, cluster.registry)

    /** Up to when all that users asked for is known here. */
    val currentAsOf: ComparableTimeMark get() = watch.currentAsOf

    /** Follows the jobs' records; see [JobWatch.run]. */
    suspend fun watch(from: Long, read: ComparableTimeMark) = watch.run(from, read)

    /** Ends jobs that are over; [afterEach] of them starts are written. */
    suspend fun finalizeJobs(afterEach: suspend () -> Unit) = finalizer.finalizeJobs(afterEach)
}
