/*
 * Proxies one request: selects a target, sends the request, relays the response, and retries or rejects the request.
 *
 * Everything runs on the event loop of the caller's connection.
 */

package org.buckthornwheel.forwarding.exchange

import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.ScheduledFuture
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.entry.EntryHostProfile
import org.buckthornwheel.decision.overload.RetryDelay
import org.buckthornwheel.decision.quarantine.QuarantineAdmission
import org.buckthornwheel.decision.quarantine.RequestIdentity
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.forwarding.connection.TargetPool
import org.buckthornwheel.forwarding.dialect.RequestMetadata
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * One request on its way through the gateway; [sink] receives the response.
 *
 * @param grants retries of a forwarded request beyond this host's own budget; null for the request of a caller.
 */
internal class ProxiedRequest(
    private val context: ForwardingContext,
    pool: TargetPool,
    private val loop: EventLoop,
    private val request: ReceivedRequest,
    sink: ResponseSink,
    private val grants: RetryGrants? = null,
) : WaitingOwner {
    val policy: RequestPolicy get() = request.policy
    val metadata: RequestMetadata get() = request.metadata

    /** Whether an earlier attempt already sent the request to a target. */
    val isRetry: Boolean get() = history.arrivals > 1

    /** Whether prompt parts of the request are quarantined. */
    val quarantine = QuarantineCheck(context, request)

    /** The regions that may serve the request. */
    val homes = HomesInForce(context.routingState, request)

    /** The software version that a stream is bound to. */
    val version = StreamVersion(context, request)

    private val history = AttemptHistory(request.policy.maximumAttempts)

    /** The response that the caller gets. */
    val response = CallerResponse(context, request, sink, history, ::stopWaiting)

    private val wait: PlaceWait = context.queues.of(policy)
        ?.let { QueuedWait(it, loop, request, history, homes, context.hosts.region, version, this) }
        ?: PolledWait(loop, policy, this)
    private val placement = PlacementStep(context, pool, request, history, this, wait)
    private val attempts = RunningAttempts()
    private val hedging = Hedging(context, loop, request, attempts, ::hedge, ::sendHedge)
    private var deadlineTimer: ScheduledFuture<*>? = null
    private var placementTimer: ScheduledFuture<*>? = null
    private var awaitsGrant = false

    fun start() {
        val now = context.clock.now()
        if (!context.shutdown.admits(policy, metadata, now)) {
            return response.reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "host is stopping", OTHER_HOST_RETRY_AFTER)
        }
        if (policy.mayForward) context.retries.recordRequest(policy.service, now)
        val delay = policy.deadline - now + DEADLINE_SLACK
        deadlineTimer = loop.schedule(::onDeadline, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        place()
    }

    /** Called when the caller has disconnected; cancels the work at the target. */
    fun cancel() {
        if (response.isDone) return
        response.abandon()
        attempts.cancelAll()
    }

    fun setReading(reads: Boolean): Unit = attempts.setReading(reads)

    override fun place() {
        if (response.isDone || awaitsGrant) return
        if (context.shutdown.isEnding) return onHostEnd()
        val now = context.clock.now()
        if (policy.deadline <= now) return onDeadline()
        quarantine.rejection(now)?.let { return rejectQuarantined(it, now) }
        val delay = policy.arrivedAt + quarantine.delay() - now
        if (delay > Duration.ZERO) return placeLater(delay)
        if (wait.mayTry(now)) proceed(placement.next(now), now)
    }

    private fun proceed(result: PlacementResult, now: MonotonicInstant) {
        when (result) {
            is PlacementResult.Attempting -> begin(result, now)
            is PlacementResult.NoPlace -> waitOrReject(result.wait ?: NO_REPLICA_RETRY_AFTER, now)
            is PlacementResult.Paused -> rejectUntilPauseEnds(result.wait, now)
            PlacementResult.Reserved -> Unit
            PlacementResult.OutsideHomes -> leaveRegion()
            is PlacementResult.CannotGoOn -> endStream(result.reason)
            PlacementResult.RetryBudgetExhausted -> requestRetry()
        }
    }

    /** Neither another host nor a later moment changes that; the caller may start a new stream at once. */
    private fun endStream(reason: String) {
        if (response.hasBegunStream) return response.abort(reason)
        val status = if (history.mayHaveRun) HttpResponseStatus.BAD_GATEWAY else HttpResponseStatus.SERVICE_UNAVAILABLE
        response.reject(status, reason, retryAfter = null, isForGood = true)
    }

    /** The host that forwarded the request may send it to a home; it would relay a failure as it is. */
    private fun leaveRegion() {
        if (!policy.mayForward && policy.isRetryable && history.mayHaveRun) return response.abort(OUTSIDE_HOMES)
        giveUp(OUTSIDE_HOMES, NO_REPLICA_RETRY_AFTER)
    }

    /** Asks the host that forwarded the request for a retry, since the requests of callers are counted there. */
    private fun requestRetry() {
        val origin = policy.origin
        if (origin == null || grants == null) return onRetryDenied()
        awaitsGrant = true
        grants.request(origin, policy.service) { isGranted ->
            awaitsGrant = false
            if (isGranted) placement.onRetryGranted()
            if (isGranted) place() else onRetryDenied()
        }
    }

    private fun onRetryDenied(): Unit = giveUp("retry budget exhausted", NO_REPLICA_RETRY_AFTER)

    private fun begin(next: PlacementResult.Attempting, now: MonotonicInstant) {
        wait.onTaken(now)
        hedging.onBegin(next.attempt)
        attempts.add(next.attempt)
        next.start()
    }

    /** A second attempt beside the late one, if the request may be repeated at this moment. */
    private fun hedge(late: ReplicaAttempt): PlacementResult.Attempting? {
        if (!mayRetry() || response.hasBegunStream) return null
        return placement.hedge(late.replica, context.clock.now())
    }

    private fun sendHedge(hedge: PlacementResult.Attempting) {
        attempts.add(hedge.attempt)
        hedge.start()
    }

    /** Called before the response of [winner] reaches the caller; any other attempt is cancelled. */
    fun onResponding(winner: Attempt) {
        version.recordBegun(winner.version)
        hedging.onResponding(winner)
        attempts.keepOnly(winner)
    }

    /** A stream that has begun does not wait, since its caller would see a pause. */
    private fun waitOrReject(firstPlace: Duration, now: MonotonicInstant) {
        if (response.hasBegunStream) return giveUp("no replica available in time", firstPlace)
        wait.onNoPlace(firstPlace, now)
    }

    private fun placeLater(delay: Duration) {
        placementTimer = loop.schedule(::place, delay.inWholeMilliseconds + 1, TimeUnit.MILLISECONDS)
    }

    /** Waits only for the end of a short pause; otherwise, the caller may use its time in another way. */
    private fun rejectUntilPauseEnds(pause: Duration, now: MonotonicInstant) {
        val isShort = now + pause < policy.arrivedAt + policy.targetLatency * SHORT_PAUSE_SHARE
        if (isShort || response.hasBegunStream || history.mayHaveRun) return waitOrReject(pause, now)
        val draw = ThreadLocalRandom.current().nextDouble()
        val retryAfter = RetryDelay.afterPause(pause, policy.targetLatency, draw)
        response.reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "replicas asked for a pause", retryAfter)
    }

    override fun onWaitEnded(reason: String, wait: Duration, retryAfter: Duration?): Unit =
        giveUp(reason, wait, retryAfter)

    /** Adds to a log line what tells a repeat from a first attempt, and the policy from the manifest in force. */
    fun describePlacement(line: JsonObjectBuilder) {
        line.put("attempts", history.arrivals)
        line.put("policy", policy.version.value)
        context.routingState.manifest?.let { line.put("manifest", it.version.value) }
    }

    /** Called when the request was written to a target. */
    fun onSent(): Unit = history.recordSent()

    /** Called when no connection to the target was established, so that nothing was sent. */
    fun onNotSent(attempt: Attempt, replica: ReplicaId?, peer: String?) {
        history.recordFailure(replica, peer)
        placeUnlessRunning(attempt)
    }

    /** Looks for another place after [ended] has ended, unless a hedged attempt is still in progress. */
    private fun placeUnlessRunning(ended: Attempt) {
        attempts.remove(ended)
        if (attempts.isEmpty) place()
    }

    /**
     * Called when [replica] certainly did not run the request. [counts] is false if another replica than the intended
     * one responded.
     */
    fun onNotRun(attempt: Attempt, replica: ReplicaId, counts: Boolean) {
        history.recordNotRun(replica, counts)
        attempts.remove(attempt)
        if (!attempts.isEmpty) return
        if (!counts || history.remaining > 0) place() else giveUp("refused by replicas", REFUSED_RETRY_AFTER)
    }

    /**
     * Called when the [host] of another region rejected the request. If no replica received it, it may still be served
     * in a third region or in this one.
     */
    fun onPeerRejected(attempt: Attempt, host: EntryHostProfile, outcome: PeerOutcome, retryAfter: Duration?) {
        attempts.remove(attempt)
        history.recordRegionRejection(host.region, outcome)
        if (outcome == PeerOutcome.NOT_RUN) {
            return giveUp("refused in ${host.region}", retryAfter ?: NO_REPLICA_RETRY_AFTER)
        }
        place()
    }

    /** Called when [attempt] failed after it may have run; responds with 502 if no retry is permitted. */
    fun onFailed(attempt: Attempt, failure: AttemptFailure) {
        history.recordFailure(failure.replica, failure.peer)
        attempts.remove(attempt)
        if (!attempts.isEmpty) return
        if (mayRetry()) return place()
        if (response.hasBegunStream) return response.abort(failure.reason)
        response.reject(HttpResponseStatus.BAD_GATEWAY, failure.reason, retryAfter = null)
    }

    /**
     * Called when [replica] sent a complete [error] response. It is kept, and relayed if no other replica serves the
     * request.
     */
    fun onError(attempt: Attempt, replica: ReplicaId, error: ResponseRelay) {
        if (attempts.isOnly(attempt) && !mayRetry()) return error.complete()
        response.keepFallback(error)
        history.recordFailure(replica, peer = null)
        placeUnlessRunning(attempt)
    }

    private fun mayRetry(): Boolean =
        policy.isRetryable && history.remaining > 0 && !response.isDone && quarantine.permitsRetry()

    /** Ends the request if a prompt part was quarantined meanwhile, unless its response has begun already. */
    fun recheckQuarantine() {
        if (response.isDone || response.hasBegunStream) return
        val now = context.clock.now()
        val rejection = quarantine.rejection(now) ?: return
        rejectQuarantined(rejection, now)
        attempts.cancelAll()
    }

    private fun rejectQuarantined(rejection: QuarantineAdmission.Rejected, now: MonotonicInstant) {
        context.meters.quarantined()
        val delay = policy.arrivedAt + quarantine.delay() - now
        if (delay > Duration.ZERO) return placeLater(delay)
        val reason = "quarantined prompt part ${rejection.part}"
        if (response.hasBegunStream) return response.abort(reason)
        if (history.mayHaveRun) return response.reject(HttpResponseStatus.BAD_GATEWAY, reason, retryAfter = null)
        response.reject(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, rejection.retryAt - now, isForGood = true)
    }

    /** Rejects a request that cannot be placed, with a status that says it was not run only if that is certain. */
    private fun giveUp(reason: String, wait: Duration, retryAfter: Duration? = null) {
        if (response.hasBegunStream) return response.abort(reason)
        if (history.mayHaveRun) return response.reject(HttpResponseStatus.BAD_GATEWAY, reason, retryAfter = null)
        val remaining = policy.deadline - context.clock.now()
        val draw = ThreadLocalRandom.current().nextDouble()
        val delay = retryAfter ?: RetryDelay.after(wait, policy.targetLatency, remaining, draw)
        response.reject(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, delay)
    }

    private fun onDeadline(): Unit = end("deadline exceeded", HttpResponseStatus.GATEWAY_TIMEOUT, retryAfter = null)

    /** Called when the host itself ends: ends the request, whose response it cannot wait for. */
    fun onHostEnd() {
        val mayRunElsewhere = !policy.mayForward && policy.isRetryable && history.mayHaveRun
        if (!mayRunElsewhere) return end("host stopped", HttpResponseStatus.BAD_GATEWAY, OTHER_HOST_RETRY_AFTER)
        // The host that forwarded the request retries it if its connection ends, but relays a failure.
        response.abort("host stopped")
        attempts.cancelAll()
    }

    /** Ends the request and its attempt, with [statusIfRun] unless it is certain that no replica ran the request. */
    private fun end(reason: String, statusIfRun: HttpResponseStatus, retryAfter: Duration?) {
        if (response.isDone) return
        when {
            response.hasBegunStream -> response.abort(reason)
            history.mayHaveRun -> response.reject(statusIfRun, reason, retryAfter = null)
            else -> response.reject(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, retryAfter)
        }
        attempts.cancelAll()
    }

    private fun stopWaiting() {
        deadlineTimer?.cancel(false)
        placementTimer?.cancel(false)
        hedging.onEnd()
        wait.end(context.clock.now())
    }

    private companion object {
        const val OUTSIDE_HOMES = "outside the home regions in force"

        /** Slack after the deadline, so that the target's own response to its time limit arrives first. */
        val DEADLINE_SLACK = 80.milliseconds

        /** Retry-After while no replica is usable. */
        val NO_REPLICA_RETRY_AFTER = 300.milliseconds

        /** Share of the target latency that a request waits for replicas that asked for a pause. */
        const val SHORT_PAUSE_SHARE = 0.125

        /** Retry-After when replicas refused the request. */
        val REFUSED_RETRY_AFTER = 100.milliseconds

        /** Retry-After for callers that have to reconnect to another host. */
        val OTHER_HOST_RETRY_AFTER = 20.milliseconds
    }
}
