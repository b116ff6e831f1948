package org.buckthornwheel.decision.waiting

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tells rejected callers when to return: when the backlog ahead of them is expected to be done, one after the other no
 * faster than places open.
 *
 * Callers wait at most [SHARE_OF_REMAINING] of the time that they have left. Those whose turn is later are asked to
 * return shortly before that, at different times.
 */
internal class ReturnTimes {
    private var last: MonotonicInstant? = null

    /** The delay of a caller that has [remaining] time, behind [backlog]; [draw] is a random number from 0 to 1. */
    fun next(
        backlog: Duration,
        placesPerSecond: Double,
        remaining: Duration,
        draw: Double,
        now: MonotonicInstant,
    ): Duration {
        val longest = remaining * SHARE_OF_REMAINING
        val interval = 1.seconds / placesPerSecond
        val earliest = now + backlog
        val turn = last?.let { maxOf(it + interval, earliest) } ?: earliest
        if (turn - now > longest) return longest * (1 - SPREAD * draw)
        last = turn
        return turn - now
    }

    private companion object {
        /** Callers honour a third; a little less, as the response takes time to arrive. */
        const val SHARE_OF_REMAINING = 0.3
        const val SPREAD = 0.25
    }
}
