package topazvale.reconcile

import topazvale.model.Clocks
import topazvale.state.StateService
import topazvale.store.RecordWriter
import kotlin.time.ComparableTimeMark

/** Follows the submissions and cancellations of users, and finalizes finished jobs. */
class JobLifecycle(
    state: StateService,
    records: RecordWriter,
    cluster: ClusterState,
    clocks: Clocks,
    onChange: () -> Unit,
) {
    private val watch = JobWatch(state, cluster.registry, clocks, onChange)
    private val finalizer = JobFinalizer(state, records, cluster.registry)

    /** All requests that users made before this time are known. */
    val currentAsOf: ComparableTimeMark get() = watch.currentAsOf

    /** Watches the job records; see [JobWatch.run]. */
    suspend fun watch(fromRevision: Long, readAt: ComparableTimeMark) = watch.run(fromRevision, readAt)

    /** Finalizes all finished jobs and calls [afterEach] after each of them; see [JobFinalizer.finalizeJobs]. */
    suspend fun finalizeJobs(afterEach: suspend () -> Unit) = finalizer.finalizeJobs(afterEach)
}
