package org.buckthornwheel.forwarding.exchange

import io.netty.channel.EventLoop
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.decision.waiting.ServingScope
import org.buckthornwheel.decision.waiting.WaitingRejection
import org.buckthornwheel.decision.waiting.WaitingRequest
import org.buckthornwheel.decision.waiting.WaitingTicket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Waits in the ordered [queue] of the request's service. */
internal class QueuedWait(
    private val queue: PlaceQueue,
    private val loop: EventLoop,
    private val request: ReceivedRequest,
    private val history: AttemptHistory,
    private val homes: HomesInForce,
    private val region: RegionName,
    private val version: StreamVersion,
    private val owner: WaitingOwner,
) : PlaceWait {
    private val policy = request.policy
    private var ticket: WaitingTicket<QueuedWait>? = null
    private val usedBefore = queue.usedBefore(policy, request.metadata.remaining)
    private var hasArrived = false

    override fun mayTry(now: MonotonicInstant): Boolean {
        if (ticket != null) return true
        val waiting = waitingRequest()
        if (!hasArrived) queue.recordArrival(waiting, now)
        hasArrived = true
        if (!queue.isBehind(waiting, now)) return true
        enter(waiting, UNKNOWN_WAIT, now)
        return false
    }

    override fun mayTake(place: FoundPlace, now: MonotonicInstant): Boolean {
        if (ticket != null) return true
        val waiting = waitingRequest()
        if (!queue.isClaimed(waiting, place, now)) return true
        enter(waiting, UNKNOWN_WAIT, now)
        queue.onPlaceOpened(now)
        return false
    }

    override fun onTaken(now: MonotonicInstant) {
        val own = ticket ?: return queue.recordStart(waitingRequest(), now)
        ticket = null
        queue.start(own, now)
    }

    override fun onNoPlace(wait: Duration, now: MonotonicInstant) {
        val own = ticket ?: return enter(waitingRequest(), wait, now)
        val waiting = waitingRequest()
        if (own.request.scope == waiting.scope) return queue.refuse(own, now)
        end(now)
        enter(waiting, wait, now)
    }

    override fun end(now: MonotonicInstant) {
        val own = ticket ?: return
        ticket = null
        queue.leave(own, now)
    }

    /** Called by the queue, on any thread: it is the turn of [woken]. */
    fun wake(woken: WaitingTicket<QueuedWait>): Unit = loop.execute { if (ticket === woken) owner.place() }

    /** Called by the queue, on any thread: [removed] no longer waits. */
    fun reject(removed: WaitingTicket<QueuedWait>, rejection: WaitingRejection): Unit = loop.execute {
        if (ticket !== removed) return@execute
        ticket = null
        end(rejection, UNKNOWN_WAIT)
    }

    private fun enter(waiting: WaitingRequest, wait: Duration, now: MonotonicInstant) {
        when (val entry = queue.enter(waiting, this, loop, now)) {
            is QueueEntry.Waiting -> ticket = entry.ticket
            is QueueEntry.Rejected -> end(entry.rejection, wait)
        }
    }

    private fun end(rejection: WaitingRejection, wait: Duration) {
        queue.logRejection(request, rejection)
        owner.onWaitEnded(rejection.reason.text, wait, rejection.retryAfter)
    }

    /** A request of another region soon returns there, where it may be served sooner. */
    private fun waitingRequest(): WaitingRequest = WaitingRequest(
        rank = policy.priority,
        account = policy.account,
        scope = ServingScope(
            homes = if (policy.mayForward) homes.regions.orEmpty() else setOf(region),
            excludedRegions = history.rejectingRegions.toSet(),
            excludedReplicas = history.excludedReplicas.toSet(),
            version = version.awaited(homes.regions.orEmpty()),
        ),
        tokens = request.metadata.promptTokens.toLong() +
            (request.metadata.expectedOutputTokens ?: request.metadata.outputTokens),
        bytes = request.body.readableBytes() + HEAD_BYTES,
        arrivedAt = policy.arrivedAt + -usedBefore,
        target = policy.targetLatency,
        deadline = policy.deadline,
        waitsUntil = when {
            policy.mayForward -> policy.deadline
            else -> policy.arrivedAt + policy.targetLatency * PolledWait.MAXIMUM_SHARE
        },
    )

    private companion object {
        /** Wait that is assumed where nothing is known of the next place. */
        val UNKNOWN_WAIT = 300.milliseconds

        /** Memory of a request's head, headers and state. */
        const val HEAD_BYTES = 4_096L
    }
}
