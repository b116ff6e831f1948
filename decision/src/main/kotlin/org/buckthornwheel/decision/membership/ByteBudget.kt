package org.buckthornwheel.decision.membership

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * A token bucket that bounds the bytes sent for control traffic.
 *
 * Not thread-safe: the caller has to hold its own lock.
 *
 * @property bytesPerSecond the sustained rate.
 * @property depth time over which unused bytes accumulate: the capacity of the bucket is [bytesPerSecond] times this.
 */
internal class ByteBudget(private val bytesPerSecond: Double, depth: Duration) {
    private val capacity = bytesPerSecond * depth.toDouble(DurationUnit.SECONDS)
    private var available = capacity
    private var refilledAt: MonotonicInstant? = null

    /** Consumes [bytes] if that many are available at [now]; otherwise returns false and consumes nothing. */
    fun tryConsume(bytes: Int, now: MonotonicInstant): Boolean {
        refill(now)
        if (available < bytes) return false
        available -= bytes
        return true
    }

    private fun refill(now: MonotonicInstant) {
        val elapsed = refilledAt?.let { now - it } ?: Duration.ZERO
        refilledAt = now
        available = (available + elapsed.toDouble(DurationUnit.SECONDS) * bytesPerSecond).coerceAtMost(capacity)
    }
}
