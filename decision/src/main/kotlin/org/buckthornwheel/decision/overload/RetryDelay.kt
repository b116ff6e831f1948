package org.buckthornwheel.decision.overload

import kotlin.time.Duration

/**
 * Chooses the delay after which a rejected caller should retry, with jitter.
 *
 * Slots become free within a fraction of the target latency, so a caller that retries within it may still be served in
 * time. The jitter keeps callers that were rejected together from retrying together. The delay is at most
 * [SHARE_OF_REMAINING] of the time that the caller has left, because it would not wait longer.
 */
public object RetryDelay {
    private const val MINIMUM_SHARE = 0.2
    private const val JITTER_SHARE = 0.5
    private const val SHARE_OF_REMAINING = 0.3

    /** The delay before the caller's next attempt; [draw] is a random number from 0 to 1. */
    public fun after(wait: Duration, targetLatency: Duration, remaining: Duration, draw: Double): Duration {
        val delay = maxOf(wait, targetLatency * MINIMUM_SHARE) + targetLatency * JITTER_SHARE * draw
        return minOf(delay, remaining * SHARE_OF_REMAINING)
    }

    /**
     * The delay before the caller's next attempt if no replica takes requests for [pause]. It is not limited by the
     * caller's time, since an earlier attempt would certainly be rejected.
     */
    public fun afterPause(pause: Duration, targetLatency: Duration, draw: Double): Duration =
        pause + targetLatency * JITTER_SHARE * draw
}
