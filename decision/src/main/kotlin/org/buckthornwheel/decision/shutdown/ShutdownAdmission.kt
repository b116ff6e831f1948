package org.buckthornwheel.decision.shutdown

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides which requests a host still admits while it shuts down.
 *
 * Callers use the directory's answers until these expire, and some of them longer. Until the expiry every request is
 * admitted. After it, a request that may last longer than the host is rejected at once, because another host can
 * complete it.
 *
 * @property directoryEnds when the last of the directory's answers that name the host have expired.
 * @property stopsAt when the host stops, even if requests are still running.
 */
public class ShutdownAdmission(private val directoryEnds: MonotonicInstant, private val stopsAt: MonotonicInstant) {
    /** Whether the host admits [request], which arrived at [now]. */
    public fun admits(request: ShutdownRequest, now: MonotonicInstant): Boolean {
        if (now < directoryEnds) return true
        return now + request.longestDuration <= stopsAt
    }
}

/**
 * The properties of a request on which its admission depends.
 *
 * @property targetLatency target for the time until the answer begins.
 * @property outputTokens maximum number of generated tokens; 0 for targets that are not engines.
 * @property remaining time left until the deadline of the request.
 * @property isStream whether the response is a stream, whose length only its tokens limit.
 */
public data class ShutdownRequest(
    public val targetLatency: Duration,
    public val outputTokens: Int,
    public val remaining: Duration,
    public val isStream: Boolean = false,
) {
    /**
     * Upper estimate of the duration of the request under load, including its wait for a slot. A stream without a
     * number of tokens may last until its deadline.
     */
    internal val longestDuration: Duration
        get() {
            if (isStream && outputTokens == 0) return remaining
            return minOf(remaining, targetLatency * LATENCY_FACTOR + TIME_PER_TOKEN * outputTokens)
        }

    private companion object {
        /** An answer that begins later than this many target latencies is rare. */
        const val LATENCY_FACTOR = 3

        /** Time per token on a full engine with 96 slots, from the users' data sheets (3.41 ms, 0.097 ms per slot). */
        val TIME_PER_TOKEN = 13.milliseconds
    }
}
