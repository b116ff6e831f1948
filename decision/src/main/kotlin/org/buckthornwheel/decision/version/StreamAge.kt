package org.buckthornwheel.decision.version

import org.buckthornwheel.api.MonotonicInstant
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How long ago the stream that a caller takes up may have begun.
 *
 * @property longest the longest time after its beginning at which any stream of the service is taken up.
 * @property own the same for this stream; null if it is not known.
 */
public data class StreamAge(public val longest: Duration, public val own: Duration? = null)

/** The time limits of the callers of each route, from which follows how much of its time a caller has used. */
public class StreamTimeLimits {
    private val longest = ConcurrentHashMap<String, Duration>()

    /** Records that a caller who begins a stream on [route] waits for [limit]. */
    public fun record(route: String, limit: Duration) {
        longest.merge(route, limit, ::maxOf)
    }

    /**
     * The time that a caller of [route] has used if it still waits for [remaining]; [usual] is the route's limit. Null
     * if its own limit may be longer than the known ones.
     */
    public fun used(route: String, usual: Duration, remaining: Duration): Duration? {
        val limit = maxOf(longest[route] ?: return null, usual)
        return if (remaining > limit) null else limit - remaining + TRANSIT_TIME
    }

    private companion object {
        /** Time that a request may spend on its way to a host, and a change of the shares on its way into force. */
        val TRANSIT_TIME = 500.milliseconds
    }
}
