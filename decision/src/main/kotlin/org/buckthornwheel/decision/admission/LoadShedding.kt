package org.buckthornwheel.decision.admission

import org.buckthornwheel.decision.routing.HashMixing
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/**
 * Refuses a share of the requests while the host's own work is late, so that the others are answered in time.
 *
 * The share depends on the minimum lateness of the last few observations, so a standing queue raises it, but a single
 * pause of the process does not. Without load shedding an overloaded host works on requests whose callers have given
 * up, and answers none in time.
 *
 * @property acceptable lateness up to which nothing is refused.
 */
public class LoadShedding(private val acceptable: Duration) {
    private val lock = ReentrantLock()
    private val recentLateness = ArrayDeque<Duration>()

    /** The share of requests that is refused now, from 0 to 1. */
    @Volatile
    public var refusedShare: Double = 0.0
        private set

    /** Records the [lateness] of work; has to be called at regular intervals. */
    public fun observe(lateness: Duration): Unit = lock.withLock {
        recentLateness.addLast(lateness)
        if (recentLateness.size > WINDOW_SIZE) recentLateness.removeFirst()
        if (recentLateness.size < WINDOW_SIZE) return
        val excess = (recentLateness.min() - acceptable) / acceptable
        refusedShare = (refusedShare + GAIN * excess.coerceIn(-1.0, MAXIMUM_EXCESS)).coerceIn(0.0, MAXIMUM_SHARE)
    }

    /** Whether to refuse the request with [seed]. */
    public fun refuses(seed: Long): Boolean {
        val share = refusedShare
        return share > 0.0 && HashMixing.fraction(HashMixing.mix(seed, HASH_SALT)) < share
    }

    private companion object {
        const val WINDOW_SIZE = 4
        const val GAIN = 0.05
        const val MAXIMUM_EXCESS = 3.0
        const val MAXIMUM_SHARE = 0.95
        const val HASH_SALT = 5L
    }
}
