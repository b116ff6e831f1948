package org.buckthornwheel.decision.waiting

import org.buckthornwheel.api.MonotonicInstant
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * The pace at which places have opened recently, by rank, counted only while requests waited.
 *
 * While nothing waits, starts show how many requests came, not how many places there are. Both the starts and the time
 * during which requests waited fade, so that about the last second counts.
 */
internal class PlacePace {
    private val requests = DoubleArray(RANKS)
    private val work = DoubleArray(RANKS)
    private var observedSeconds = 0.0
    private var updatedAt: MonotonicInstant? = null
    private var isObserving = false
    private var waitingSince: MonotonicInstant? = null

    /** When a place was last taken; null before that. */
    var lastStartAt: MonotonicInstant? = null
        private set

    /** Records that from [now] on requests wait, or that none does. */
    fun observe(isWaiting: Boolean, now: MonotonicInstant) {
        advance(now)
        if (isWaiting && !isObserving) waitingSince = now
        isObserving = isWaiting
    }

    /** Records a start; it counts only while requests wait. */
    fun recordStart(request: WaitingRequest, now: MonotonicInstant) {
        advance(now)
        if (!isObserving) return
        val rank = request.rank.coerceIn(0, RANKS - 1)
        requests[rank] += 1.0
        work[rank] += request.work.toDouble()
        lastStartAt = now
    }

    /** The time during which requests waited, as far as it still counts. */
    fun observed(now: MonotonicInstant): Duration {
        advance(now)
        return observedSeconds.seconds
    }

    /** Time until [amount] has started, if only requests of [rank] and less urgent ones take places. */
    fun timeFor(amount: WorkAmount, rank: Int, now: MonotonicInstant): Duration {
        if (amount.requests <= 0.0) return Duration.ZERO
        val known = perSecond(rank, now)
        val unseen = maxOf(0.0, 1 - known.requests * observedSeconds)
        val coming = unseen * possibleStart(now) / maxOf(observedSeconds, SHORTEST_SECONDS)
        val requestsPerSecond = known.requests + coming
        val workPerSecond = known.work + coming * amount.work / amount.requests
        return maxOf(amount.requests / requestsPerSecond, amount.work / workPerSecond).seconds
    }

    /** Starts a second of [rank] and less urgent requests. */
    fun perSecond(rank: Int, now: MonotonicInstant): WorkAmount {
        advance(now)
        if (observedSeconds <= 0.0) return WorkAmount.NONE
        val from = rank.coerceIn(0, RANKS - 1)
        var sum = WorkAmount.NONE
        for (index in from until RANKS) sum += WorkAmount(requests[index], work[index])
        return WorkAmount(sum.requests / observedSeconds, sum.work / observedSeconds)
    }

    /** Starts a second of [rank] alone. */
    fun perSecondOf(rank: Int, now: MonotonicInstant): WorkAmount {
        advance(now)
        if (observedSeconds <= 0.0) return WorkAmount.NONE
        val index = rank.coerceIn(0, RANKS - 1)
        return WorkAmount(requests[index] / observedSeconds, work[index] / observedSeconds)
    }

    /**
     * The start that may be about to come where none was seen: a short time without a start does not show that there
     * are no places, a long one does.
     */
    private fun possibleStart(now: MonotonicInstant): Double {
        val from = waitingSince ?: now
        val since = lastStartAt?.let { maxOf(it, from) } ?: from
        return exp(-(now - since).toDouble(DurationUnit.SECONDS) / MEMORY_SECONDS)
    }

    private fun advance(now: MonotonicInstant) {
        val before = updatedAt
        updatedAt = maxOf(now, before ?: now)
        if (before == null || now <= before) return
        val kept = exp(-(now - before).toDouble(DurationUnit.SECONDS) / MEMORY_SECONDS)
        for (index in 0 until RANKS) {
            requests[index] *= kept
            work[index] *= kept
        }
        observedSeconds *= kept
        if (isObserving) observedSeconds += MEMORY_SECONDS * (1 - kept)
    }

    private companion object {
        const val SHORTEST_SECONDS = 0.001

        /** The platform's priorities range from 0 to 9. */
        const val RANKS = 10

        /** A few response times: long enough for several starts, and short against the time limits of requests. */
        const val MEMORY_SECONDS = 1.0
    }
}
