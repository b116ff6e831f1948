/*
 * The queues of requests that wait for places at this host: wakes requests, and reviews and measures the queues.
 */

package org.buckthornwheel.forwarding.exchange

import io.netty.channel.EventLoop
import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.decision.waiting.CallerTimeLimits
import org.buckthornwheel.decision.waiting.EntryResult
import org.buckthornwheel.decision.waiting.RemovedTicket
import org.buckthornwheel.decision.waiting.WaitingLimits
import org.buckthornwheel.decision.waiting.WaitingQueue
import org.buckthornwheel.decision.waiting.WaitingRejection
import org.buckthornwheel.decision.waiting.WaitingRequest
import org.buckthornwheel.decision.waiting.WaitingTicket
import org.buckthornwheel.forwarding.observability.LogPart
import org.buckthornwheel.forwarding.observability.WaitOutcome
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** The queue of each service whose requests wait in order; [isOrdered] tells for new requests. */
internal class PlaceQueues(
    private val limits: WaitingLimits,
    private val observability: Observability,
    private val clock: MonotonicClock,
    private val isOrdered: (RequestPolicy) -> Boolean,
) {
    private val queues = ConcurrentHashMap<ServiceName, PlaceQueue>()
    private val timeLimits = CallerTimeLimits()

    /**
     * The queue in which a request of [policy] waits; null if it looks for a place at intervals. Once some requests of
     * a service wait in order, all do.
     */
    fun of(policy: RequestPolicy): PlaceQueue? =
        queues[policy.service] ?: if (isOrdered(policy)) queue(policy.service) else null

    /** Records that the response to a request of [policy] began [duration] after it was sent. */
    fun recordResponseStart(policy: RequestPolicy, duration: Duration) {
        queues[policy.service]?.recordResponseStart(policy.priority, duration)
    }

    /** Called when a request of [policy] has left a replica, [duration] after it was sent. */
    fun onAttemptEnded(policy: RequestPolicy, isAnswered: Boolean, duration: Duration, now: MonotonicInstant) {
        val queue = queues[policy.service] ?: return
        if (isAnswered) queue.recordResponseEnd(policy.priority, duration)
        queue.onPlaceOpened(now)
    }

    private fun queue(service: ServiceName): PlaceQueue =
        queues.computeIfAbsent(service) { PlaceQueue(it, WaitingQueue(limits), timeLimits, observability, clock) }
}

/** Whether a request waits in the queue. */
internal sealed interface QueueEntry {
    class Waiting(val ticket: WaitingTicket<QueuedWait>) : QueueEntry

    class Rejected(val rejection: WaitingRejection) : QueueEntry
}

/** The waiting requests of [service]. */
internal class PlaceQueue(
    private val service: ServiceName,
    private val queue: WaitingQueue<QueuedWait>,
    private val timeLimits: CallerTimeLimits,
    private val observability: Observability,
    private val clock: MonotonicClock,
) {
    private val isPolling = AtomicBoolean()
    private var polls = 0

    init {
        observability.meters.recordQueue(service) { queue.size }
    }

    /** The time that the caller has used before its request arrived; unknown for requests of other regions. */
    fun usedBefore(policy: RequestPolicy, remaining: Duration?): Duration {
        if (remaining == null || !policy.mayForward) return Duration.ZERO
        return timeLimits.used(policy.routeName, policy.account, remaining, policy.arrivedAt)
    }

    fun isBehind(request: WaitingRequest, now: MonotonicInstant): Boolean = queue.isBehind(request, now)

    fun isClaimed(request: WaitingRequest, place: FoundPlace, now: MonotonicInstant): Boolean =
        queue.isClaimed(request, place.region, place.replica, place.version, now)

    fun recordArrival(request: WaitingRequest, now: MonotonicInstant): Unit = queue.recordArrival(request, now)

    fun recordStart(request: WaitingRequest, now: MonotonicInstant): Unit = queue.recordStart(request, now)

    fun recordResponseStart(rank: Int, duration: Duration): Unit = queue.recordResponseStart(rank, duration)

    fun recordResponseEnd(rank: Int, duration: Duration): Unit = queue.recordResponseEnd(rank, duration)

    /** Lets [request] of [owner] wait, if it can be served in time; [loop] polls for places while requests wait. */
    fun enter(request: WaitingRequest, owner: QueuedWait, loop: EventLoop, now: MonotonicInstant): QueueEntry =
        when (val entry = queue.enter(request, owner, draw(), now)) {
            is EntryResult.Rejected -> QueueEntry.Rejected(entry.rejection)
            is EntryResult.Waiting -> {
                entry.displaced?.let { reject(it, now) }
                if (isPolling.compareAndSet(false, true)) schedulePoll(loop)
                QueueEntry.Waiting(entry.ticket)
            }
        }

    /** Wakes the first request, since a place may have opened. */
    fun onPlaceOpened(now: MonotonicInstant): Unit = wake(queue.offer(now))

    fun start(ticket: WaitingTicket<QueuedWait>, now: MonotonicInstant) {
        recordEnd(ticket, WaitOutcome.STARTED, now)
        wake(queue.start(ticket, now))
    }

    fun refuse(ticket: WaitingTicket<QueuedWait>, now: MonotonicInstant): Unit = wake(queue.refuse(ticket, now))

    fun leave(ticket: WaitingTicket<QueuedWait>, now: MonotonicInstant) {
        recordEnd(ticket, WaitOutcome.LEFT, now)
        wake(queue.leave(ticket, now))
    }

    fun logRejection(request: ReceivedRequest, rejection: WaitingRejection) {
        observability.log.write(LogPart.REQUEST, "not waiting") {
            put("request", request.metadata.id.value)
            put("service", service.value)
            put("rank", request.policy.priority)
            put("reason", rejection.reason.text)
            put("predicted", rejection.predicted?.milliseconds())
            put("requests-ahead", rejection.requestsAhead)
            put("work-ahead", rejection.workAhead)
            put("age", rejection.age?.milliseconds())
            put("retry-after", rejection.retryAfter?.milliseconds())
        }
    }

    private fun schedulePoll(loop: EventLoop) {
        loop.schedule({ poll(loop) }, PolledWait.INTERVAL.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Other hosts' requests end without a notice, so that places are looked for at an interval too. */
    private fun poll(loop: EventLoop) {
        val now = clock.now()
        polls += 1
        if (polls % REVIEW_POLLS == 0) queue.review(now, ::draw).forEach { reject(it, now) }
        onPlaceOpened(now)
        if (queue.size > 0) return schedulePoll(loop)
        isPolling.set(false)
        if (queue.size > 0 && isPolling.compareAndSet(false, true)) schedulePoll(loop)
    }

    private fun reject(removed: RemovedTicket<QueuedWait>, now: MonotonicInstant) {
        recordEnd(removed.ticket, WaitOutcome.REJECTED, now)
        removed.ticket.owner.reject(removed.ticket, removed.rejection)
    }

    private fun recordEnd(ticket: WaitingTicket<QueuedWait>, outcome: WaitOutcome, now: MonotonicInstant) {
        val waited = now - ticket.enteredAt
        observability.meters.recordWait(ticket.request.rank, outcome, waited)
        val predicted = ticket.predicted ?: return
        if (outcome == WaitOutcome.STARTED) observability.meters.recordPredictionError(waited - predicted)
    }

    private fun wake(ticket: WaitingTicket<QueuedWait>?) {
        ticket?.owner?.wake(ticket)
    }

    private fun draw(): Double = ThreadLocalRandom.current().nextDouble()

    private fun Duration.milliseconds(): Double? = toDouble(DurationUnit.MILLISECONDS).takeIf { it.isFinite() }

    private companion object {
        /** Polls between two reviews: a twentieth of a second, short against the targets of requests. */
        const val REVIEW_POLLS = 4
    }
}
