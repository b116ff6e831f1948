/*
 * Proxies one request: selects a target, sends the request, relays the response, and retries or rejects the request.
 *
 * Everything runs on the event loop of the caller's connection.
 */

package org.buckthornwheel.forwarding.exchange

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.ScheduledFuture
import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.entry.EntryHostProfile
import org.buckthornwheel.decision.overload.RetryDelay
import org.buckthornwheel.decision.placement.PlacementDecision
import org.buckthornwheel.decision.placement.PlacementRequest
import org.buckthornwheel.decision.quarantine.QuarantineAdmission
import org.buckthornwheel.decision.quarantine.RequestIdentity
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.forwarding.connection.TargetPool
import org.buckthornwheel.forwarding.dialect.RequestMetadata
import org.buckthornwheel.forwarding.observability.LogPart
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** A complete request as it was read from the connection, with its policy. */
internal class ReceivedRequest(
    val head: HttpRequest,
    val body: ByteBuf,
    val metadata: RequestMetadata,
    val policy: RequestPolicy,
)

/** One request on its way through the gateway; [sink] receives the response. */
internal class ProxiedRequest(
    private val context: ForwardingContext,
    private val pool: TargetPool,
    private val loop: EventLoop,
    private val request: ReceivedRequest,
    private val sink: ResponseSink,
) {
    val policy: RequestPolicy get() = request.policy
    val metadata: RequestMetadata get() = request.metadata

    /** Whether the head of a streamed response was sent to the caller. */
    val hasBegunStream: Boolean get() = stream.hasBegun

    /** Whether an earlier attempt already sent the request to a target. */
    val isRetry: Boolean get() = history.count > 1

    /** Whether prompt parts of the request are quarantined. */
    val quarantine = QuarantineCheck(context, request)

    private val stream = CallerStream(sink)
    private val history = AttemptHistory(request.policy.maximumAttempts)
    private var attempt: Attempt? = null
    private var isDone = false
    private var isRejectedForGood = false
    private var fallback: ResponseRelay? = null
    private var deadlineTimer: ScheduledFuture<*>? = null
    private var placementTimer: ScheduledFuture<*>? = null

    fun start() {
        val now = context.clock.now()
        if (!context.shutdown.admits(policy, metadata, now)) {
            return reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "host is stopping", OTHER_HOST_RETRY_AFTER)
        }
        if (policy.mayForward) context.retries.recordRequest(policy.service, now)
        val delay = policy.deadline - now + DEADLINE_SLACK
        deadlineTimer = loop.schedule(::onDeadline, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        place()
    }

    /** Called when the caller has disconnected; cancels the work at the target. */
    fun cancel() {
        if (isDone) return
        finish(CLIENT_CLOSED_REQUEST, "caller disconnected")
        attempt?.cancel()
    }

    fun setReading(reads: Boolean) {
        attempt?.setReading(reads)
    }

    private fun place() {
        if (isDone) return
        val now = context.clock.now()
        if (policy.deadline <= now) return onDeadline()
        quarantine.rejection(now)?.let { return rejectQuarantined(it, now) }
        val delay = policy.arrivedAt + quarantine.delay() - now
        if (delay > Duration.ZERO) return placeLater(delay)
        val reachable = context.hosts.reachableRegions(now) - history.rejectingRegions
        when (val decision = context.placement.choose(placementRequest(now), reachable, now)) {
            is PlacementDecision.Local -> sendToReplica(decision, now)
            is PlacementDecision.Forward -> forward(decision, now)
            is PlacementDecision.Full -> waitOrReject(decision.wait, now)
            is PlacementDecision.Paused -> rejectUntilPauseEnds(decision.wait, now)
            PlacementDecision.NoReplica -> waitOrReject(NO_REPLICA_RETRY_AFTER, now)
        }
    }

    private fun placementRequest(now: MonotonicInstant): PlacementRequest = PlacementRequest(
        service = policy.service,
        promptTokens = metadata.promptTokens,
        outputTokens = metadata.expectedOutputTokens ?: metadata.outputTokens,
        parts = metadata.parts,
        priority = policy.priority,
        targetLatency = policy.targetLatency,
        remaining = policy.deadline - now,
        homeRegions = policy.homeRegions,
        excluded = history.excludedReplicas,
        closedZones = context.routingState.closedZones,
        mayForward = policy.mayForward && !quarantine.isProbe,
        isUrgent = policy.priority == 0,
    )

    /** Retries the placement for a short time; after that, the caller is asked to retry later. */
    private fun waitOrReject(wait: Duration, now: MonotonicInstant) {
        val waited = now - policy.arrivedAt
        if (waited + PLACEMENT_RETRY_INTERVAL > policy.targetLatency * MAXIMUM_WAIT_SHARE || hasBegunStream) {
            return giveUp("no replica available in time", wait)
        }
        placementTimer = loop.schedule(::place, PLACEMENT_RETRY_INTERVAL.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun placeLater(delay: Duration) {
        placementTimer = loop.schedule(::place, delay.inWholeMilliseconds + 1, TimeUnit.MILLISECONDS)
    }

    /** Waits only for the end of a short pause; otherwise, the caller may use its time in another way. */
    private fun rejectUntilPauseEnds(pause: Duration, now: MonotonicInstant) {
        val isShort = now + pause < policy.arrivedAt + policy.targetLatency * MAXIMUM_WAIT_SHARE
        if (isShort || hasBegunStream || history.mayHaveRun) return waitOrReject(pause, now)
        val draw = ThreadLocalRandom.current().nextDouble()
        val retryAfter = RetryDelay.afterPause(pause, policy.targetLatency, draw)
        reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "replicas asked for a pause", retryAfter)
    }

    private fun sendToReplica(decision: PlacementDecision.Local, now: MonotonicInstant) {
        val state = context.replicas.find(decision.replica.id) ?: return place()
        if (history.count > 0 && !spendRetryBudget(now)) return giveUp("retry budget exhausted", NO_REPLICA_RETRY_AFTER)
        val sent = ReplicaAttempt(context, this, state, decision, now)
        attempt = sent
        sent.start(pool, replicaHeaders(decision, now), request, stream.lastEventId)
    }

    private fun replicaHeaders(decision: PlacementDecision.Local, now: MonotonicInstant): HttpHeaders =
        RequestHeaders.forReplica(context, request, decision, policy.deadline - now, stream.lastEventId)

    private fun forward(decision: PlacementDecision.Forward, now: MonotonicInstant) {
        val reachable = context.hosts.primaries(decision.region, now).filter(history::permits)
        val host = reachable.filter { it.zone == decision.zone }.randomOrNull() ?: reachable.randomOrNull()
        if (host == null) return waitOrReject(NO_REPLICA_RETRY_AFTER, now)
        val envelope = PeerEnvelope.of(policy, history.remaining, now)
        context.meters.forwarded()
        val sent = PeerAttempt(context, this, host, now)
        attempt = sent
        sent.start(pool, RequestHeaders.forPeer(request, envelope, stream.lastEventId), request)
    }

    private fun spendRetryBudget(now: MonotonicInstant): Boolean = context.retries.tryWithdraw(policy.service, now)

    /** Called when the request was written to a target. */
    fun onSent(): Unit = history.recordSent()

    /** Called when no connection to the target was established, so that nothing was sent. */
    fun onNotSent(replica: ReplicaId?, peer: String?) {
        history.recordFailure(replica, peer)
        attempt = null
        place()
    }

    /**
     * Called when [replica] certainly did not run the request. [counts] is false if another replica than the intended
     * one responded.
     */
    fun onNotRun(replica: ReplicaId, counts: Boolean) {
        history.recordNotRun(replica, counts)
        attempt = null
        if (!counts || history.remaining > 0) place() else giveUp("refused by replicas", REFUSED_RETRY_AFTER)
    }

    /**
     * Called when the [host] of another region rejected the request. If no replica received it, it may still be served
     * in a third region or in this one.
     */
    fun onPeerRejected(host: EntryHostProfile, outcome: PeerOutcome, retryAfter: Duration?) {
        attempt = null
        history.recordRegionRejection(host.region, outcome)
        if (outcome == PeerOutcome.NOT_RUN) {
            return giveUp("refused in ${host.region}", retryAfter ?: NO_REPLICA_RETRY_AFTER)
        }
        place()
    }

    /** Called when an attempt failed after it may have run; responds with [status] if no retry is permitted. */
    fun onFailed(replica: ReplicaId?, peer: String?, reason: String, status: HttpResponseStatus) {
        history.recordFailure(replica, peer)
        attempt = null
        if (mayRetry()) return place()
        if (hasBegunStream) return abort(reason)
        reject(status, reason, retryAfter = null)
    }

    /**
     * Called when [replica] sent a complete error [response]. It is kept, and relayed if no other replica serves the
     * request.
     */
    fun onError(replica: ReplicaId, response: ResponseRelay) {
        if (!mayRetry()) return response.complete()
        fallback?.discard()
        fallback = response
        history.recordFailure(replica, peer = null)
        attempt = null
        place()
    }

    private fun mayRetry(): Boolean =
        policy.isRetryable && history.remaining > 0 && !isDone && quarantine.permitsRetry()

    /** Ends the request if a prompt part was quarantined meanwhile, unless its response has begun already. */
    fun recheckQuarantine() {
        if (isDone || hasBegunStream) return
        val now = context.clock.now()
        val rejection = quarantine.rejection(now) ?: return
        val running = attempt
        rejectQuarantined(rejection, now)
        running?.cancel()
    }

    private fun rejectQuarantined(rejection: QuarantineAdmission.Rejected, now: MonotonicInstant) {
        context.meters.quarantined()
        val kind = if (RequestIdentity.isRequest(rejection.part)) "request" else "prompt part"
        val reason = "quarantined $kind ${rejection.part}"
        if (hasBegunStream) return abort(reason)
        if (history.mayHaveRun) return reject(HttpResponseStatus.BAD_GATEWAY, reason, retryAfter = null)
        isRejectedForGood = true
        reject(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, rejection.retryAt - now)
    }

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

    /** Rejects a request that cannot be placed, with a status that says it was not run only if that is certain. */
    private fun giveUp(reason: String, wait: Duration) {
        if (hasBegunStream) return abort(reason)
        if (history.mayHaveRun) return reject(HttpResponseStatus.BAD_GATEWAY, reason, retryAfter = null)
        val remaining = policy.deadline - context.clock.now()
        val draw = ThreadLocalRandom.current().nextDouble()
        val retryAfter = RetryDelay.after(wait, policy.targetLatency, remaining, draw)
        reject(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, retryAfter)
    }

    private fun onDeadline(): Unit = end("deadline exceeded", HttpResponseStatus.GATEWAY_TIMEOUT, retryAfter = null)

    /** Called when the host itself ends: ends the request, whose response it cannot wait for. */
    fun onHostEnd() {
        val mayRunElsewhere = !policy.mayForward && policy.isRetryable && history.mayHaveRun
        if (!mayRunElsewhere) return end("host stopped", HttpResponseStatus.BAD_GATEWAY, OTHER_HOST_RETRY_AFTER)
        // The host that forwarded the request retries it if its connection ends, but relays a failure.
        val running = attempt
        abort("host stopped")
        running?.cancel()
    }

    /** Ends the request and its attempt, with [statusIfRun] unless it is certain that no replica ran the request. */
    private fun end(reason: String, statusIfRun: HttpResponseStatus, retryAfter: Duration?) {
        if (isDone) return
        val running = attempt
        when {
            hasBegunStream -> abort(reason)
            history.mayHaveRun -> reject(statusIfRun, reason, retryAfter = null)
            else -> reject(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, retryAfter)
        }
        running?.cancel()
    }

    private fun abort(reason: String) {
        if (isDone) return
        finish(BROKEN_STREAM_STATUS, reason)
        sink.abort()
    }

    private fun reject(status: HttpResponseStatus, reason: String, retryAfter: Duration?) {
        if (isDone) return
        fallback?.let { response ->
            fallback = null
            return response.complete()
        }
        finish(status.code(), reason)
        val headers = DefaultHttpHeaders()
        context.dialect.writeGatewayResponse(headers, metadata.id)
        if (!history.mayHaveRun && !policy.mayForward) PeerEnvelope.setOutcome(headers, ownOutcome())
        retryAfter?.let { headers.set(HttpHeaderNames.RETRY_AFTER, "%.3f".format(it.toDouble(DurationUnit.SECONDS))) }
        sink.respond(status, headers, Unpooled.EMPTY_BUFFER)
    }

    /** A request that no region would serve counts as not run, so that it is not tried in another one. */
    private fun ownOutcome(): PeerOutcome =
        if (history.count == 0 && !isRejectedForGood) PeerOutcome.NOT_SENT else PeerOutcome.NOT_RUN

    private fun finish(status: Int, reason: String) {
        isDone = true
        fallback?.discard()
        fallback = null
        deadlineTimer?.cancel(false)
        placementTimer?.cancel(false)
        request.body.release()
        val took = context.clock.now() - policy.arrivedAt
        context.meters.recordResponse(status, took)
        context.log.write(LogPart.REQUEST, "answered") {
            put("request", metadata.id.value)
            put("route", policy.routeName)
            put("manifest", policy.version.value)
            put("status", status)
            put("reason", reason)
            put("attempts", history.count)
            put("milliseconds", took.inWholeMilliseconds)
        }
    }

    private companion object {
        /** Slack after the deadline, so that the target's own response to its time limit arrives first. */
        val DEADLINE_SLACK = 80.milliseconds

        /** Maximum share of the target latency that a request may wait for placement. */
        const val MAXIMUM_WAIT_SHARE = 0.125

        /** Interval between placement attempts: about three batch steps of an engine. */
        val PLACEMENT_RETRY_INTERVAL = 12.milliseconds

        /** Retry-After while no replica is usable. */
        val NO_REPLICA_RETRY_AFTER = 300.milliseconds

        /** Retry-After when replicas refused the request. */
        val REFUSED_RETRY_AFTER = 100.milliseconds

        /** Retry-After for callers that have to reconnect to another host. */
        val OTHER_HOST_RETRY_AFTER = 20.milliseconds

        /** Codes in logs and metrics where no status was sent. */
        const val CLIENT_CLOSED_REQUEST = 499
        const val BROKEN_STREAM_STATUS = 0
    }
}
