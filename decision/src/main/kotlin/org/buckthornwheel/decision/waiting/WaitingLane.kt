package org.buckthornwheel.decision.waiting

import org.buckthornwheel.api.MonotonicInstant
import java.util.TreeMap
import kotlin.time.Duration

/**
 * The waiting requests that may be served in the same [scope], and the pace at which such requests have found places.
 *
 * More urgent ranks come first; within a rank, requests that can still keep their target come before those that can
 * only keep their time limit.
 */
internal class WaitingLane<T>(val scope: ServingScope) {
    private class Rank<T> {
        val onTime = FairOrder<T> { it.onTimeUntil }
        val late = FairOrder<T> { it.lateUntil }

        fun orders(): List<FairOrder<T>> = listOf(onTime, late)

        fun total(): WorkAmount = onTime.total() + late.total()

        /** The first ticket; those that can no longer keep their target are moved behind the others. */
        fun first(now: MonotonicInstant): WaitingTicket<T>? {
            onTime.takeExpired(now).forEach(late::add)
            return onTime.first() ?: late.first()
        }
    }

    private val ranks = TreeMap<Int, Rank<T>>()
    private val starts = PlacePace()
    private val arrivals = PlacePace()

    val isEmpty: Boolean get() = ranks.isEmpty()

    /** When a place was last taken; null before that. */
    val lastStartAt: MonotonicInstant? get() = starts.lastStartAt

    fun add(ticket: WaitingTicket<T>, now: MonotonicInstant) {
        val rank = ranks.getOrPut(ticket.request.rank) { Rank() }
        if (now < ticket.onTimeUntil) rank.onTime.add(ticket) else rank.late.add(ticket)
        observe(now)
    }

    /** Removes [ticket], which leaves or has started; returns whether it was present. */
    fun remove(ticket: WaitingTicket<T>, isStarted: Boolean, now: MonotonicInstant): Boolean {
        val rank = ranks[ticket.request.rank] ?: return false
        if (isStarted) starts.recordStart(ticket.request, now)
        val wasPresent = rank.orders().any { if (isStarted) it.start(ticket) else it.remove(ticket) }
        if (rank.orders().all { it.isEmpty }) ranks.remove(ticket.request.rank)
        observe(now)
        return wasPresent
    }

    /** Records that [request] has arrived, or has started without waiting. */
    fun recordArrival(request: WaitingRequest, now: MonotonicInstant): Unit = arrivals.recordStart(request, now)

    fun recordStart(request: WaitingRequest, now: MonotonicInstant): Unit = starts.recordStart(request, now)

    /** The first ticket of each rank, the most urgent rank first. */
    fun firsts(now: MonotonicInstant): List<WaitingTicket<T>> = ranks.values.mapNotNull { it.first(now) }

    /** The ticket that yields to a more urgent request if the queue is full; null if only [rank] or less waits. */
    fun leastUrgent(rank: Int): WaitingTicket<T>? {
        val (last, entry) = ranks.lastEntry()?.toPair() ?: return null
        if (last <= rank) return null
        return entry.late.lastOfLargestAccount() ?: entry.onTime.lastOfLargestAccount()
    }

    /** The predicted wait of [request], which does not wait yet. */
    fun predict(request: WaitingRequest, onTimeUntil: MonotonicInstant, now: MonotonicInstant): WaitPrediction {
        val rank = ranks[request.rank]
        val ahead = rank?.onTime?.ahead(request, onTimeUntil) ?: WorkAmount.NONE
        return prediction(request, ahead, rank?.total() ?: WorkAmount.NONE, now)
    }

    /** Calls [action] for each ticket with its predicted wait. */
    fun review(now: MonotonicInstant, action: (WaitingTicket<T>, WaitPrediction) -> Unit) {
        for (rank in ranks.values) {
            rank.first(now)
            val onTime = rank.onTime.total()
            val all = rank.total()
            rank.onTime.forEachAhead { ticket, ahead -> action(ticket, prediction(ticket.request, ahead, all, now)) }
            rank.late.forEachAhead { ticket, ahead ->
                action(ticket, prediction(ticket.request, ahead + onTime, ahead + onTime, now))
            }
        }
    }

    /** The waiting work of all more urgent ranks than [rank]. */
    private fun moreUrgent(rank: Int): WorkAmount =
        ranks.headMap(rank).values.fold(WorkAmount.NONE) { sum, urgent -> sum + urgent.total() }

    /** [ahead] starts before the request while it is on time, [aheadIfLate] otherwise. */
    private fun prediction(
        request: WaitingRequest,
        ahead: WorkAmount,
        aheadIfLate: WorkAmount,
        now: MonotonicInstant,
    ): WaitPrediction {
        val own = WorkAmount(1.0, request.work.toDouble())
        val urgent = moreUrgent(request.rank)
        val urgentTime = starts.timeFor(urgent, 0, now)
        val wait = urgentTime + starts.timeFor(ahead + own, request.rank, now)
        val lateWait = urgentTime + starts.timeFor(aheadIfLate + own, request.rank, now) / freeShare(request.rank, now)
        return WaitPrediction(wait, lateWait, ahead + urgent, starts.observed(now), starts.perSecond(request.rank, now))
    }

    /** Share of the places for [rank] that are not needed for the requests of that rank that arrive meanwhile. */
    private fun freeShare(rank: Int, now: MonotonicInstant): Double {
        val places = starts.perSecond(rank, now).work
        if (places <= 0.0) return 0.0
        return maxOf(0.0, 1 - arrivals.perSecondOf(rank, now).work / places)
    }

    private fun observe(now: MonotonicInstant) {
        starts.observe(!isEmpty, now)
        arrivals.observe(!isEmpty, now)
    }
}

/**
 * When a request is expected to start.
 *
 * @property wait expected wait; infinite if no places have opened.
 * @property lateWait expected wait behind all requests that can keep their target, including those that will come.
 * @property ahead work that is expected to start before it.
 * @property observed time during which requests waited, so that the pace could be observed.
 * @property pace recent starts a second of its rank and less urgent ones.
 */
internal data class WaitPrediction(
    val wait: Duration,
    val lateWait: Duration,
    val ahead: WorkAmount,
    val observed: Duration,
    val pace: WorkAmount,
)
