package org.buckthornwheel.decision.replica

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Paces this host's requests to a replica while it is cold, or may be. Not thread-safe. */
internal class ColdPace {
    private var nextAt: MonotonicInstant? = null
    private var unpacedUntil: MonotonicInstant? = null

    /** Time of the last request to the replica while it counted as warm. */
    private var lastUnpacedAt: MonotonicInstant? = null

    /** Whether the interval after the last request is over, and no unpaced one counts any longer. */
    fun permits(now: MonotonicInstant): Boolean = listOfNotNull(nextAt, unpacedUntil).all { now >= it }

    /** Takes the request that is due at [now]; the next one is due after [interval]. Returns false if none is due. */
    fun take(interval: Duration, now: MonotonicInstant): Boolean {
        if (!permits(now)) return false
        nextAt = now + interval
        return true
    }

    /** Records a request at [now] to a replica that counts as warm. */
    fun recordUnpaced(now: MonotonicInstant) {
        lastUnpacedAt = listOfNotNull(lastUnpacedAt, now).max()
    }

    /**
     * Delays the next request until the unpaced ones are no longer counted: a new run may have got them before this
     * host learned of it.
     */
    fun awaitUnpaced() {
        unpacedUntil = lastUnpacedAt?.let { it + COUNTED_FOR }
    }

    /** Forgets the unpaced requests up to [end], since the run that got them had ended by then. */
    fun forgetUnpaced(end: MonotonicInstant) {
        val last = lastUnpacedAt ?: return
        if (last > end) return
        lastUnpacedAt = null
        unpacedUntil = null
    }

    private companion object {
        /** Time over which the requests to a cold replica are counted. */
        val COUNTED_FOR = 1.seconds
    }
}
