package org.buckthornwheel.forwarding.exchange

import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RequestId
import org.buckthornwheel.decision.quarantine.ReplicaRun
import org.buckthornwheel.decision.replica.ReplicaState
import org.buckthornwheel.forwarding.dialect.ResponseMetadata
import org.buckthornwheel.forwarding.observability.LogPart
import kotlin.time.Duration

/**
 * Records what [run] says of itself in its response to [request], which was sent at [sentAt]: that it is leaving, that
 * it wants a pause, or how many requests it takes.
 */
internal class ReplicaAnnouncements(
    private val context: ForwardingContext,
    private val state: ReplicaState,
    private val run: ReplicaRun,
    private val request: RequestId,
    private val sentAt: MonotonicInstant,
) {
    /** Records the announcements in a response with [status]; one of another replica than the expected one has none. */
    fun record(response: ResponseMetadata, status: HttpResponseStatus) {
        if (response.isWrongReplica) return
        if (response.isLeaving) recordLeaving()
        recordLimit(response.requestLimit)
        val pause = response.retryAfter ?: return
        if (status == HttpResponseStatus.SERVICE_UNAVAILABLE && pause > Duration.ZERO) recordPause(pause)
    }

    private fun recordLeaving() {
        if (!context.replicas.recordLeaving(run, context.clock.now(), System.currentTimeMillis())) return
        context.log.write(LogPart.REPLICA, "announced leaving") {
            put("replica", run.replica.value)
            put("run", run.startedAt)
            put("request", request.value)
        }
    }

    private fun recordLimit(limit: Double?) {
        val change = state.recordLimit(run.startedAt, limit, sentAt, context.clock.now()) ?: return
        context.limits.log(change, run) { put("request", request.value) }
    }

    private fun recordPause(pause: Duration) {
        context.meters.paused()
        state.recordPause(run.startedAt, pause, context.clock.now(), System.currentTimeMillis())
        context.log.write(LogPart.REPLICA, "asked for a pause") {
            put("replica", run.replica.value)
            put("run", run.startedAt)
            put("request", request.value)
            put("milliseconds", pause.inWholeMilliseconds)
        }
    }
}
