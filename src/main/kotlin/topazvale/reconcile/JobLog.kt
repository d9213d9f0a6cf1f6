package topazvale.reconcile

import org.slf4j.LoggerFactory
import org.slf4j.spi.LoggingEventBuilder

/** Where jobs became known from and at which revision they ended, as structured log events of a leadership term. */
class JobLog(private val token: Long) {
    private val log = LoggerFactory.getLogger(JobLog::class.java)

    /** A job became known; [proven]: up to which revision the watch had told of all changes by then. */
    fun known(id: String, version: Long, source: RecordSource, proven: Long) =
        about(id, log.atDebug()).add("version", version).add("source", source).add("revision", proven).log("job_known")

    /** A job ended, at [revision]. */
    fun ended(id: String, job: ManagedJob, revision: Long, source: RecordSource) =
        about(id, log.atDebug()).add("version", job.version).add("status", job.record.status).add("endedAt", revision)
            .add("source", source).log("job_ended")

    /** A record from before its job's end arrived after it. */
    fun oldRecordIgnored(id: String, version: Long, endedAt: Long, source: RecordSource) =
        about(id, log.atInfo()).add("version", version).add("endedAt", endedAt).add("source", source)
            .log("old_record_ignored")

    private fun about(id: String, builder: LoggingEventBuilder) = builder.add("term", token).add("job", id)
}
