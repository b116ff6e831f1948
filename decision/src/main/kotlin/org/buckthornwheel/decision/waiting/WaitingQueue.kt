package org.buckthornwheel.decision.waiting

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.decision.replica.SoftwareVersion
import kotlin.time.Duration

/**
 * The requests of one service that wait for a place at this host.
 *
 * Places are offered in rounds. A round starts when a place may have opened. It wakes one request after the other in
 * the order of the queue, and ends when no waiting request has found a place. Therefore, no request takes a place for
 * which a more urgent or an older one waits, and no more requests are woken than there are places, but for the last.
 *
 * Each ticket leaves the queue exactly once: it starts, leaves, is removed by a review, or is displaced by a more
 * urgent newcomer. Thread-safe; wakes nobody itself, but returns the tickets to wake.
 */
public class WaitingQueue<T>(private val limits: WaitingLimits) {
    private val lock = Any()
    private val lanes = LinkedHashMap<ServingScope, WaitingLane<T>>()
    private val tickets = HashSet<WaitingTicket<T>>()
    private val judgement = WaitJudgement<T>()
    private val round = OfferRound<T>(limits.longestOffer)
    private var bytes = 0L

    /** Number of waiting requests. */
    public val size: Int get() = synchronized(lock) { tickets.size }

    /** Whether [ticket] still waits. */
    public fun isWaiting(ticket: WaitingTicket<T>): Boolean = synchronized(lock) { ticket in tickets }

    /** Whether a waiting request that may be served wherever [newcomer] may be goes before it. */
    public fun isBehind(newcomer: WaitingRequest, now: MonotonicInstant): Boolean =
        isPreceded(newcomer, now) { it.covers(newcomer.scope) }

    /**
     * Whether a waiting request goes before [newcomer] and may take the place in [region], at [replica] of [version] if
     * these are known.
     */
    public fun isClaimed(
        newcomer: WaitingRequest,
        region: RegionName,
        replica: ReplicaId?,
        version: SoftwareVersion?,
        now: MonotonicInstant,
    ): Boolean = isPreceded(newcomer, now) { it.permits(region, replica, version) }

    private fun isPreceded(
        newcomer: WaitingRequest,
        now: MonotonicInstant,
        competes: (ServingScope) -> Boolean,
    ): Boolean = synchronized(lock) {
        if (tickets.isEmpty()) return false
        lanes.values.filter { competes(it.scope) }.flatMap { it.firsts(now) }
            .any { it.request.rank <= newcomer.rank && !newcomer.isMuchSmallerThan(it.request) }
    }

    /** Records that [request] has arrived. */
    public fun recordArrival(request: WaitingRequest, now: MonotonicInstant): Unit = synchronized(lock) {
        lanes.values.forEach { if (it.scope.covers(request.scope)) it.recordArrival(request, now) }
    }

    /** Records that [request] has found a place without waiting. */
    public fun recordStart(request: WaitingRequest, now: MonotonicInstant): Unit = synchronized(lock) {
        lanes.values.forEach { if (it.scope.covers(request.scope)) it.recordStart(request, now) }
    }

    /** Records that a response began [duration] after its request of [rank] was sent. */
    public fun recordResponseStart(rank: Int, duration: Duration): Unit =
        synchronized(lock) { judgement.times(rank).responseStart.add(duration) }

    /** Records that a response was complete [duration] after its request of [rank] was sent. */
    public fun recordResponseEnd(rank: Int, duration: Duration): Unit =
        synchronized(lock) { judgement.times(rank).whole.add(duration) }

    /** Lets [request] wait, unless it is predicted not to start in time; [draw] is a random number from 0 to 1. */
    public fun enter(request: WaitingRequest, owner: T, draw: Double, now: MonotonicInstant): EntryResult<T> =
        synchronized(lock) {
            val lane = lane(request.scope)
            val ticket = judgement.ticket(request, owner, lane, now)
            val reason = judgement.reason(ticket, lane.predict(request, ticket.onTimeUntil, now), now)
            val displaced = if (hasRoom(request)) null else displaceable(request)
            when {
                reason != null -> EntryResult.Rejected(judgement.rejection(ticket, lane, reason, draw, now))
                !hasRoom(request, without = displaced) -> EntryResult.Rejected(
                    judgement.rejection(ticket, lane, WaitingRejectionReason.QUEUE_FULL, draw, now),
                )
                else -> {
                    val removed = displaced?.let { reject(it, WaitingRejectionReason.QUEUE_FULL, draw, now) }
                    tickets += ticket
                    bytes += request.bytes
                    lane(request.scope).add(ticket, now)
                    EntryResult.Waiting(ticket, removed)
                }
            }
        }

    /** Starts a round, since a place may have opened at [now]; returns the ticket to wake. */
    public fun offer(now: MonotonicInstant): WaitingTicket<T>? =
        synchronized(lock) { if (round.begin(now)) next(now) else null }

    /** Removes [ticket], which has found a place; returns the next ticket to wake. */
    public fun start(ticket: WaitingTicket<T>, now: MonotonicInstant): WaitingTicket<T>? = synchronized(lock) {
        if (remove(ticket, isStarted = true, now)) judgement.recordStart(ticket, now)
        continueAfter(ticket, now)
    }

    /** Ends the offer to [ticket], for which there is no place; returns the next ticket to wake. */
    public fun refuse(ticket: WaitingTicket<T>, now: MonotonicInstant): WaitingTicket<T>? = synchronized(lock) {
        round.refuse(ticket)
        continueAfter(ticket, now)
    }

    /** Removes [ticket], whose request has ended; returns the next ticket to wake. */
    public fun leave(ticket: WaitingTicket<T>, now: MonotonicInstant): WaitingTicket<T>? = synchronized(lock) {
        remove(ticket, isStarted = false, now)
        continueAfter(ticket, now)
    }

    /** Removes and returns the requests that are no longer predicted to start in time. */
    public fun review(now: MonotonicInstant, draw: () -> Double): List<RemovedTicket<T>> = synchronized(lock) {
        val hopeless = LinkedHashMap<WaitingTicket<T>, WaitingRejectionReason>()
        for (lane in lanes.values) {
            lane.review(now) { ticket, prediction ->
                if (ticket !== round.offered) judgement.reason(ticket, prediction, now)?.let { hopeless[ticket] = it }
            }
        }
        hopeless.map { (ticket, reason) -> reject(ticket, reason, draw(), now) }
    }

    private fun lane(scope: ServingScope): WaitingLane<T> {
        if (lanes.size >= MAXIMUM_LANES) lanes.values.removeIf { it.isEmpty && it.scope != scope }
        return lanes.getOrPut(scope) { WaitingLane(scope) }
    }

    private fun next(now: MonotonicInstant): WaitingTicket<T>? {
        val next = lanes.values.flatMap { it.firsts(now) }.filterNot(round::isRefused)
            .minWithOrNull(compareBy({ it.request.rank }, { now >= it.onTimeUntil }, { it.onTimeUntil }))
        round.offer(next, now)
        return next
    }

    /** The next ticket to wake if [ticket] was being offered a place; null otherwise. */
    private fun continueAfter(ticket: WaitingTicket<T>, now: MonotonicInstant): WaitingTicket<T>? {
        if (round.offered !== ticket) return null
        return next(now) ?: if (round.takeRepeat()) next(now) else null
    }

    private fun remove(ticket: WaitingTicket<T>, isStarted: Boolean, now: MonotonicInstant): Boolean {
        if (!tickets.remove(ticket)) return false
        bytes -= ticket.request.bytes
        return lane(ticket.request.scope).remove(ticket, isStarted, now)
    }

    private fun reject(
        ticket: WaitingTicket<T>,
        reason: WaitingRejectionReason,
        draw: Double,
        now: MonotonicInstant,
    ): RemovedTicket<T> {
        remove(ticket, isStarted = false, now)
        return RemovedTicket(ticket, judgement.rejection(ticket, lane(ticket.request.scope), reason, draw, now))
    }

    private fun hasRoom(request: WaitingRequest, without: WaitingTicket<T>? = null): Boolean {
        val requestsLeft = tickets.size - (if (without == null) 0 else 1)
        val bytesLeft = bytes - (without?.request?.bytes ?: 0)
        return requestsLeft < limits.maximumRequests && bytesLeft + request.bytes <= limits.maximumBytes
    }

    /** A ticket that is less urgent than [request]; null if there is none. */
    private fun displaceable(request: WaitingRequest): WaitingTicket<T>? =
        lanes.values.mapNotNull { it.leastUrgent(request.rank) }.filter { it !== round.offered }
            .maxByOrNull { it.request.rank }

    private companion object {
        /** Number of scopes above which those without waiting requests are forgotten, with their pace. */
        const val MAXIMUM_LANES = 32
    }
}
