package org.buckthornwheel.decision.attempt

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How long a connection may have been idle and still be used for a request.
 *
 * Targets, or what stands between, may forget an idle connection without notice. What is sent on it next is lost, and a
 * request that must not be repeated fails with it. After the first such loss only connections that were idle for much
 * less are used; the others are replaced by new ones, which cost a millisecond. Not safe for use by several threads.
 *
 * @property usual the limit while no loss is known.
 */
public class IdleLimit(private val usual: Duration) {
    private var learned: Learned? = null

    private class Learned(val limit: Duration, val at: MonotonicInstant)

    /** The limit at [now]. */
    public fun at(now: MonotonicInstant): Duration {
        val known = learned ?: return usual
        if (now - known.at > LEARNED_FOR) learned = null
        return learned?.limit ?: usual
    }

    /**
     * A connection that had been idle for [idle] broke off at its next request, at [now].
     *
     * @return whether the idle time explains it.
     */
    public fun recordLoss(idle: Duration, now: MonotonicInstant): Boolean {
        if (idle < LEAST) return false
        val limit = maxOf(LEAST, idle * SHARE_OF_LOST)
        learned = Learned(minOf(limit, at(now)), now)
        return true
    }

    private companion object {
        /** Share of the idle time of a lost connection that is still trusted: others may be forgotten sooner. */
        const val SHARE_OF_LOST = 0.4

        /** Shortest limit: requests that follow each other directly always share a connection. */
        val LEAST = 20.milliseconds

        /** Time for which a loss is remembered; such faults last for seconds to a minute. */
        val LEARNED_FOR = 60.seconds
    }
}
