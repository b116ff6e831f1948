package org.buckthornwheel.forwarding.membership

import kotlin.time.Duration

/**
 * How long this host must be behind in a value before it requests that value.
 *
 * It starts at [shortest] and doubles up to [longest] with each request in vain: what another host sends may be
 * unreadable here. A higher value elsewhere, or a new one here, is reason to ask soon again. Not thread-safe.
 */
internal class CatchUpDelay(private val shortest: Duration, private val longest: Duration) {
    private var highest = 0L
    private var own = 0L
    private var delay = shortest

    /** Records the value [elsewhere] of another host. */
    fun record(elsewhere: Long) {
        if (elsewhere <= highest) return
        highest = elsewhere
        delay = shortest
    }

    /** The present delay of this host, whose own value is [present]. */
    fun of(present: Long): Duration {
        if (present != own) delay = shortest
        own = present
        return delay
    }

    /** Records that a request was answered. */
    fun recordAnswer() {
        delay = minOf(delay * 2, longest)
    }
}
