package org.buckthornwheel.decision.waiting

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration

/**
 * Decides how long requests wait, from the predicted wait and the measured times of earlier requests.
 *
 * A request waits while it is predicted to keep its target, with the error of recent predictions added, and later only
 * if it is predicted to keep its time limit behind all requests that are on time. It is rejected at once otherwise.
 * The first one waits for its target in any case: with nothing ahead of it, a place may open at any time.
 */
internal class WaitJudgement<T> {
    private val times = HashMap<Int, ExpectedTimes>()
    private val returns = ReturnTimes()

    fun times(rank: Int): ExpectedTimes = times.getOrPut(rank) { ExpectedTimes() }

    fun ticket(request: WaitingRequest, owner: T, lane: WaitingLane<T>, now: MonotonicInstant): WaitingTicket<T> {
        val expected = times(request.rank)
        val onTimeUntil = request.arrivedAt + (request.target - expected.responseStart.cautious)
        val lateUntil = request.deadline + -expected.whole.cautious
        val prediction = lane.predict(request, onTimeUntil, now)
        return WaitingTicket(
            request,
            owner,
            minOf(onTimeUntil, request.waitsUntil),
            minOf(lateUntil, request.waitsUntil),
            now,
            prediction.wait.takeIf { isKnown(prediction, request) && it.isFinite() },
        )
    }

    /** Why [ticket] must not wait any longer; null if it may. */
    fun reason(ticket: WaitingTicket<T>, prediction: WaitPrediction, now: MonotonicInstant): WaitingRejectionReason? {
        if (now >= maxOf(ticket.lateUntil, ticket.onTimeUntil)) return WaitingRejectionReason.TIME_USED_UP
        if (!isKnown(prediction, ticket.request)) return null
        val error = times(ticket.request.rank).excessWait.cautious
        if (now < ticket.onTimeUntil) {
            val isFirst = prediction.ahead.requests < 1.0
            if (isFirst || now + (prediction.wait + error) <= ticket.onTimeUntil) return null
        }
        val isInTime = now + (prediction.lateWait + error) <= ticket.lateUntil
        return if (isInTime) null else WaitingRejectionReason.PREDICTED_TOO_LATE
    }

    fun rejection(
        ticket: WaitingTicket<T>,
        lane: WaitingLane<T>,
        reason: WaitingRejectionReason,
        draw: Double,
        now: MonotonicInstant,
    ): WaitingRejection {
        val prediction = lane.predict(ticket.request, ticket.onTimeUntil, now)
        val known = prediction.takeIf { isKnown(it, ticket.request) }
        val remaining = ticket.request.deadline - now
        return WaitingRejection(
            reason,
            known?.wait,
            prediction.ahead.requests.toInt(),
            prediction.ahead.work.toLong(),
            lane.lastStartAt?.let { now - it },
            known?.wait?.takeIf { it.isFinite() }
                ?.let { returns.next(it, prediction.pace.requests, remaining, draw, now) },
        )
    }

    /** Records the start of [ticket], for the error of predictions. */
    fun recordStart(ticket: WaitingTicket<T>, now: MonotonicInstant) {
        val predicted = ticket.predicted ?: return
        times(ticket.request.rank).excessWait.add(maxOf(now - ticket.enteredAt - predicted, Duration.ZERO))
    }

    /** The pace is known once requests have waited for a time that is not short against the target. */
    private fun isKnown(prediction: WaitPrediction, request: WaitingRequest): Boolean =
        prediction.observed >= request.target * OBSERVED_SHARE

    private companion object {
        const val OBSERVED_SHARE = 0.125
    }
}
