package topazvale.reconcile

import org.slf4j.LoggerFactory
import org.slf4j.spi.LoggingEventBuilder

/**
 * Logs, as structured events of a leadership term, from which source jobs became known and at which revision they
 * ended.
 */
class JobLog(private val token: Long) {
    private val log = LoggerFactory.getLogger(JobLog::class.java)

    /** A job became known. By then the watch had delivered all changes up to [watchRevision]. */
    fun jobAdded(id: String, version: Long, source: RecordSource, watchRevision: Long) =
        jobEvent(id, log.atDebug()).add("version", version).add("source", source).add("revision", watchRevision)
            .log("job_known")

    /** A job ended at [revision]: its record was replaced by its final state. */
    fun jobEnded(id: String, job: ManagedJob, revision: Long, source: RecordSource) =
        jobEvent(id, log.atDebug()).add("version", job.version).add("status", job.record.status)
            .add("endedAt", revision).add("source", source).log("job_ended")

    /** A stale record of a job was ignored: it arrived after the job's end at revision [endedAt]. */
    fun staleRecordIgnored(id: String, version: Long, endedAt: Long, source: RecordSource) =
        jobEvent(id, log.atInfo()).add("version", version).add("endedAt", endedAt).add("source", source)
            .log("old_record_ignored")

    private fun jobEvent(id: String, builder: LoggingEventBuilder) = builder.add("term", token).add("job", id)
}
