package org.buckthornwheel.decision.attempt

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limits how long a connection may have been idle before it is reused for a request.
 *
 * Targets, or devices on the network path, may drop an idle connection without notice. The next request sent on it is
 * lost, and fails if it must not be repeated. After the first such loss, only connections that were idle for a much
 * shorter time are reused; the others are replaced by new ones, which take a millisecond to open. Not thread-safe.
 *
 * @property default the limit while no loss is known.
 */
public class IdleLimit(private val default: Duration) {
    private var reduced: ReducedLimit? = null

    private class ReducedLimit(val limit: Duration, val at: MonotonicInstant)

    /** The limit at [now]. */
    public fun at(now: MonotonicInstant): Duration {
        val known = reduced ?: return default
        if (now - known.at > REDUCED_FOR) reduced = null
        return reduced?.limit ?: default
    }

    /**
     * Records that a connection that had been idle for [idle] was lost at its next request, at [now].
     *
     * @return whether the idle time explains the loss.
     */
    public fun recordLoss(idle: Duration, now: MonotonicInstant): Boolean {
        if (idle < MINIMUM_LIMIT) return false
        val limit = maxOf(MINIMUM_LIMIT, idle * SHARE_OF_LOST_IDLE)
        reduced = ReducedLimit(minOf(limit, at(now)), now)
        return true
    }

    private companion object {
        /** New limit as a share of the idle time of the lost connection, since others may be dropped sooner. */
        const val SHARE_OF_LOST_IDLE = 0.4

        /** Minimum limit, so that requests in direct succession always share a connection. */
        val MINIMUM_LIMIT = 20.milliseconds

        /** Time for which the limit stays reduced after a loss; such faults last for seconds to a minute. */
        val REDUCED_FOR = 60.seconds
    }
}
