/*
 * Decides how long a host may trust the keys of its manifest.
 */

package org.buckthornwheel.decision.account

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/**
 * The clocks of a host at one moment.
 *
 * @property steady the steady clock, which does not count while the machine is suspended.
 * @property unixMilliseconds the time of day, which may be set to any other value.
 */
public data class ClockReading(public val steady: MonotonicInstant, public val unixMilliseconds: Long)

/**
 * Keeps the time at which the manifest of a host was last shown to be current.
 *
 * A key that was removed from the manifest must stop working everywhere within [bound], also on hosts that are cut off
 * from the store. A read of the store that was answered shows that the manifest was current when the read was **sent**.
 * The guard closes when that is longer ago than [SHARE_OF_BOUND] of [bound]; it is closed until the first such read.
 *
 * The age counts by the steady clock, plus every advance of the time of day beyond it, since the steady clock misses
 * the time for which a machine is suspended. Setting the time of day forward therefore closes the guard until a later
 * read is answered; setting it back never extends it. Thread-safe.
 */
public class RevocationGuard(public val bound: Duration) {
    /** A read of the store that was sent. */
    public class Read internal constructor(internal val sentAt: MonotonicInstant, internal val missedBefore: Duration)

    private val lock = Any()
    private var latest: Read? = null
    private var proof: Read? = null

    /** Time that the steady clock missed altogether, and how far the time of day was ahead of it then. */
    private var missed = Duration.ZERO
    private var offset: Duration? = null

    /** Records that a read of the store is sent at [now], in place of any earlier one that was not answered. */
    public fun readSent(now: ClockReading): Read = synchronized(lock) {
        observe(now)
        Read(now.steady, missed).also { latest = it }
    }

    /** Records that [read], if it is the latest one, was answered and that what it brought is in force. */
    public fun readApplied(read: Read): Unit = synchronized(lock) {
        if (latest === read) proof = read
    }

    /** Time for which the manifest has not been shown to be current; infinite if it never was. */
    public fun age(now: ClockReading): Duration = synchronized(lock) {
        observe(now)
        val last = proof ?: return Duration.INFINITE
        now.steady - last.sentAt + missed - last.missedBefore
    }

    /** Whether keys may be accepted at [now]. */
    public fun isOpen(now: ClockReading): Boolean = age(now) < bound * SHARE_OF_BOUND

    /** Adds up the advances of the time of day, so that one is not hidden when the time of day is set back later. */
    private fun observe(now: ClockReading) {
        val current = now.unixMilliseconds.milliseconds - now.steady.nanoseconds.nanoseconds
        val previous = offset ?: current
        if (offset != null && (current - previous).absoluteValue < CLOCK_TOLERANCE) return
        if (current > previous) missed += current - previous
        offset = current
    }

    /** Limits. */
    public companion object {
        /** The rest of the bound covers the time between the check of a key and the start of its request. */
        public const val SHARE_OF_BOUND: Double = 0.8

        /** Differences between the two clocks that are due to their reading; small compared to any bound. */
        private val CLOCK_TOLERANCE = 50.milliseconds
    }
}
