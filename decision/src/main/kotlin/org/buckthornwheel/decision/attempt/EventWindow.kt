package org.buckthornwheel.decision.attempt

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration

/** Counts events within a sliding window of [length]. Not thread-safe. */
internal class EventWindow(private val length: Duration) {
    private val times = ArrayDeque<MonotonicInstant>()

    /** Adds an event at [now]; expired events are removed, so that memory is bounded by the rate of events. */
    fun add(now: MonotonicInstant) {
        times.addLast(now)
        removeExpired(now)
    }

    /** Removes one event at [time]; has no effect if it has expired. */
    fun remove(time: MonotonicInstant) {
        times.remove(time)
    }

    /** Number of events within [length] before [now]. */
    fun count(now: MonotonicInstant): Int {
        removeExpired(now)
        return times.size
    }

    private fun removeExpired(now: MonotonicInstant) {
        while (times.isNotEmpty() && now - times.first() > length) times.removeFirst()
    }
}
