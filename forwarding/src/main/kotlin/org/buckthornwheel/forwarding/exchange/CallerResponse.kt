package org.buckthornwheel.forwarding.exchange

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.json.put
import org.buckthornwheel.forwarding.observability.LogPart
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * The one response that the caller of [request] gets: relayed from a target, or the gateway's own.
 *
 * @property onFinished called once, when the response is decided.
 */
internal class CallerResponse(
    private val context: ForwardingContext,
    private val request: ReceivedRequest,
    private val sink: ResponseSink,
    private val history: AttemptHistory,
    private val onFinished: () -> Unit,
) {
    private val policy = request.policy
    private val stream = CallerStream(sink)
    private var fallback: ResponseRelay? = null

    /** Whether the response is decided, so that nothing more is sent for the request. */
    var isDone: Boolean = false
        private set

    /** Whether the head of a streamed response was sent to the caller. */
    val hasBegunStream: Boolean get() = stream.hasBegun

    /** Identifier of the last event that was sent; null before the first one. */
    val lastEventId: String? get() = stream.lastEventId

    /** Sends a complete response; if a stream has begun already, the stream is aborted instead. */
    fun respond(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf) {
        if (isDone || hasBegunStream) {
            body.release()
            return abort("status ${status.code()} after the stream had begun")
        }
        finish(status.code(), "answered")
        sink.respond(status, headers, body)
    }

    /** Begins the caller's stream unless an earlier attempt has begun it. */
    fun beginStream(status: HttpResponseStatus, headers: HttpHeaders) {
        if (!isDone) stream.begin(status, headers)
    }

    /** Relays an event unless it was sent before. */
    fun streamEvent(event: StreamEvent) {
        if (isDone) event.bytes.release() else stream.add(event)
    }

    fun streamBytes(bytes: ByteBuf) {
        if (isDone || !bytes.isReadable) bytes.release() else stream.add(bytes)
    }

    fun endStream(status: Int) {
        if (isDone) return
        finish(status, "streamed")
        sink.endStream()
    }

    /** Keeps a complete error [response], which is relayed if no other replica serves the request. */
    fun keepFallback(response: ResponseRelay) {
        fallback?.discard()
        fallback = response
    }

    /** Ends a response that cannot be completed. */
    fun abort(reason: String) {
        if (isDone) return
        finish(BROKEN_STREAM_STATUS, reason)
        sink.abort()
    }

    /** Records that the caller has disconnected. */
    fun abandon(): Unit = finish(CLIENT_CLOSED_REQUEST, "caller disconnected")

    /** Sends the kept error response if there is one, otherwise a response of the gateway with [status]. */
    fun reject(status: HttpResponseStatus, reason: String, retryAfter: Duration?, isForGood: Boolean = false) {
        if (isDone) return
        fallback?.let { response ->
            fallback = null
            return response.complete()
        }
        finish(status.code(), reason)
        val headers = DefaultHttpHeaders()
        context.dialect.writeGatewayResponse(headers, request.metadata.id)
        if (!history.mayHaveRun && !policy.mayForward) PeerEnvelope.setOutcome(headers, ownOutcome(isForGood))
        retryAfter?.let { headers.set(HttpHeaderNames.RETRY_AFTER, "%.3f".format(it.toDouble(DurationUnit.SECONDS))) }
        sink.respond(status, headers, Unpooled.EMPTY_BUFFER)
    }

    /** A request that no region would serve counts as not run, so that it is not tried in another one. */
    private fun ownOutcome(isForGood: Boolean): PeerOutcome = when {
        isForGood || history.count > 0 -> PeerOutcome.NOT_RUN
        history.arrivals > 0 -> PeerOutcome.WRONG_REPLICA
        else -> PeerOutcome.NOT_SENT
    }

    private fun finish(status: Int, reason: String) {
        isDone = true
        fallback?.discard()
        fallback = null
        onFinished()
        request.body.release()
        val now = context.clock.now()
        if (!history.mayHaveRun) request.charge?.giveBack(now)
        val took = now - policy.arrivedAt
        context.meters.recordResponse(status, took)
        context.log.write(LogPart.REQUEST, "answered") {
            put("request", request.metadata.id.value)
            put("route", policy.routeName)
            policy.account?.let { put("account", it.value) }
            put("manifest", policy.version.value)
            put("status", status)
            put("reason", reason)
            put("attempts", history.count)
            request.metadata.resumedRequest?.let { put("resumes", it.value) }
            put("milliseconds", took.inWholeMilliseconds)
        }
    }

    private companion object {
        /** Codes in logs and metrics where no status was sent. */
        const val CLIENT_CLOSED_REQUEST = 499
        const val BROKEN_STREAM_STATUS = 0
    }
}
