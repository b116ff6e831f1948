package org.buckthornwheel.decision.overload

import kotlin.time.Duration

/**
 * Chooses when a rejected caller should come back.
 *
 * Places become free within a fraction of the target latency, so a caller that returns inside it may still be served
 * on time. Callers that were rejected together are spread, so that they do not return together. Never more than
 * [SHARE_OF_REMAINING] of the time that the caller has left, as it would not wait longer.
 */
public object RetryDelay {
    private const val LEAST_SHARE = 0.2
    private const val SPREAD = 0.5
    private const val SHARE_OF_REMAINING = 0.3

    /** The pause before the caller's next attempt; [draw] is a random number from 0 to 1. */
    public fun after(wait: Duration, targetLatency: Duration, remaining: Duration, draw: Double): Duration {
        val pause = maxOf(wait, targetLatency * LEAST_SHARE) + targetLatency * SPREAD * draw
        return minOf(pause, remaining * SHARE_OF_REMAINING)
    }
}
