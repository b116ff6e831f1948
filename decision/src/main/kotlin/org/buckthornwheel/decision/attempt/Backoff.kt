package org.buckthornwheel.decision.attempt

import kotlin.random.Random
import kotlin.time.Duration

/** Exponential backoff with full jitter, so that requests that failed together are not retried together. */
public class Backoff(private val base: Duration, private val maximum: Duration) {
    /** The pause before the attempt that follows attempt number [attempts]; [seed] differs for each request. */
    public fun pause(attempts: Int, seed: Long): Duration {
        val doublings = (attempts - 1).coerceIn(0, MAXIMUM_DOUBLINGS)
        val bound = minOf(maximum, base * (1 shl doublings))
        return bound * Random(seed + attempts).nextDouble()
    }

    private companion object {
        const val MAXIMUM_DOUBLINGS = 10
    }
}
