package org.buckthornwheel.decision.waiting

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Estimates how much of its time a caller has used before its request arrived, for instance because another host has
 * rejected it.
 *
 * The target of a request counts from its first attempt, but a returning caller shows nothing of its earlier attempt
 * except that it has less time left. The time that callers of the same route and account usually have is the longest of
 * the last seconds. A caller with a time limit of its own that is shorter counts as returning. Thread-safe.
 */
public class CallerTimeLimits {
    private data class Key(val route: String, val account: AccountName?)

    private class Longest(var since: MonotonicInstant) {
        var current = Duration.ZERO
        var previous = Duration.ZERO

        fun add(remaining: Duration, now: MonotonicInstant): Duration {
            if (now - since > WINDOW) {
                previous = if (now - since > WINDOW * 2) Duration.ZERO else current
                current = Duration.ZERO
                since = now
            }
            current = maxOf(current, remaining)
            return maxOf(current, previous)
        }
    }

    private val longest = object : LinkedHashMap<Key, Longest>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Key, Longest>): Boolean = size > MAXIMUM_KEYS
    }

    /** The time used by a caller of [route] and [account] that has [remaining] time at [now]. */
    public fun used(route: String, account: AccountName?, remaining: Duration, now: MonotonicInstant): Duration {
        val usual = synchronized(longest) {
            longest.getOrPut(Key(route, account)) { Longest(now) }.add(remaining, now)
        }
        val used = usual - remaining
        return if (used < TRANSIT_TIME) Duration.ZERO else used
    }

    private companion object {
        /** Longer than the time limits of most callers, so that returning callers are compared with new ones. */
        val WINDOW = 10.seconds

        /** Time that a request may spend on its way to the host; less tells nothing. */
        val TRANSIT_TIME = 50.milliseconds
        const val MAXIMUM_KEYS = 4_096
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
