package org.buckthornwheel.api

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A reading of a monotonic clock, in nanoseconds since an arbitrary origin.
 *
 * The decision module does not read clocks; time-dependent functions receive the current instant as a parameter.
 */
@JvmInline
public value class MonotonicInstant(public val nanoseconds: Long) : Comparable<MonotonicInstant> {
    /** The instant [duration] later; the latest or earliest instant if the sum is out of range, as with infinity. */
    public operator fun plus(duration: Duration): MonotonicInstant {
        val added = duration.inWholeNanoseconds
        val sum = nanoseconds + added
        val isOverflow = (nanoseconds xor sum) and (added xor sum) < 0
        if (!isOverflow) return MonotonicInstant(sum)
        return MonotonicInstant(if (added > 0) Long.MAX_VALUE else Long.MIN_VALUE)
    }

    /** The time from [earlier] to this instant; negative if [earlier] is later. */
    public operator fun minus(earlier: MonotonicInstant): Duration = (nanoseconds - earlier.nanoseconds).nanoseconds

    override fun compareTo(other: MonotonicInstant): Int = nanoseconds.compareTo(other.nanoseconds)
}

/** Source of [MonotonicInstant]s: the system clock in the daemon, simulated clocks in tests. */
public fun interface MonotonicClock {
    /** The current instant. */
    public fun now(): MonotonicInstant

    /** Predefined clocks. */
    public companion object {
        /** The monotonic clock of the system. */
        public val SYSTEM: MonotonicClock = MonotonicClock { MonotonicInstant(System.nanoTime()) }
    }
}
