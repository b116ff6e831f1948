package org.buckthornwheel.decision.attempt

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Estimates whether a target closes idle connections after an idle timeout, which it need not announce.
 *
 * Connections that end by a timeout have been idle for about the same time, again and again. Two losses can agree by
 * chance, for instance when a target crashes twice under an even load; a timeout is assumed from the third one on.
 * Connections that are lost together count as one loss. Not thread-safe.
 */
public class IdleTimeoutEstimate {
    private var last: Loss? = null
    private var agreements = 0

    private class Loss(val idle: Duration, val at: MonotonicInstant)

    /**
     * Records that the target closed a connection that had been idle for [idle] at [now].
     *
     * @return whether an idle timeout explains it.
     */
    public fun recordLoss(idle: Duration, now: MonotonicInstant): Boolean {
        val earlier = last
        last = Loss(idle, now)
        if (earlier == null || !agree(idle, earlier.idle)) {
            agreements = 0
            return false
        }
        if (now - earlier.at >= SAME_EVENT) agreements += 1
        return agreements >= REQUIRED_AGREEMENTS
    }

    /** Whether the last loss was so long before [now] that the estimate no longer counts. */
    public fun isOutdated(now: MonotonicInstant): Boolean = last?.let { now - it.at > VALIDITY } ?: true

    private fun agree(idle: Duration, other: Duration): Boolean =
        idle >= other * (1 - VARIATION) && idle <= other * (1 + VARIATION)

    private companion object {
        /** Largest difference between the idle times of two connections that ended by the same timeout, as a share. */
        const val VARIATION = 0.25
        const val REQUIRED_AGREEMENTS = 2

        /** Losses that are closer together have one cause. */
        val SAME_EVENT = 50.milliseconds

        /** Targets that are used less often are asked again. */
        val VALIDITY = 60.seconds
    }
}
