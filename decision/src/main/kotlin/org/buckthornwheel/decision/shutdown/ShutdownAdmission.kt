package org.buckthornwheel.decision.shutdown

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides which requests a stopping host still takes.
 *
 * Callers go on using the directory's answers until these run out, and some of them longer. What comes in time is
 * served; later, a request that may outlast the host is rejected at once, as another host can run it to its end.
 *
 * @property directoryEnds when the directory's answers that name the host have run out.
 * @property stopsAt when the host ends, whatever is still running.
 */
public class ShutdownAdmission(private val directoryEnds: MonotonicInstant, private val stopsAt: MonotonicInstant) {
    /** Whether the host takes [request], which arrived at [now]. */
    public fun admits(request: ShutdownRequest, now: MonotonicInstant): Boolean {
        if (now < directoryEnds) return true
        return now + request.longestDuration <= stopsAt
    }
}

/**
 * What the admission depends on.
 *
 * @property targetLatency time within which the answer should begin.
 * @property outputTokens most tokens that may be generated; 0 outside engines.
 * @property remaining time that is left for the request.
 */
public data class ShutdownRequest(
    public val targetLatency: Duration,
    public val outputTokens: Int,
    public val remaining: Duration,
) {
    /** The time that the request takes under load, its wait for a place included. */
    internal val longestDuration: Duration
        get() = minOf(remaining, targetLatency * LATENCY_FACTOR + SLOW_TOKEN * outputTokens)

    private companion object {
        /** An answer later than this many target latencies is rare; an estimate, no run gives it. */
        const val LATENCY_FACTOR = 3

        /** Time for a token at a full engine with 96 slots; from the users' sheets (3.41 ms and 0.097 ms a slot). */
        val SLOW_TOKEN = 13.milliseconds
    }
}
