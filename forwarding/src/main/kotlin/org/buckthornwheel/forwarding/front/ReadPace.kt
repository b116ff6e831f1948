package org.buckthornwheel.forwarding.front

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration.Companion.seconds

/** The pace at which a request arrives. */
internal class ReadPace(start: MonotonicInstant) {
    private var received = 0L

    /** Begin of the present interval. Read on any thread. */
    @Volatile
    var since: MonotonicInstant = start
        private set

    fun add(bytes: Int) {
        received += bytes
    }

    fun restart(now: MonotonicInstant) {
        since = now
        received = 0
    }

    /** Whether less arrived in the last interval than any network of a sound client carries. */
    fun isSlow(now: MonotonicInstant): Boolean {
        if (now - since < INTERVAL) return false
        val isSlow = received < INTERVAL_BYTES
        if (!isSlow) restart(now)
        return isSlow
    }

    private companion object {
        /** Several retransmissions of lost packets. */
        val INTERVAL = 2.seconds
        const val INTERVAL_BYTES = 8_192
    }
}
