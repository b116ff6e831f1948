package org.buckthornwheel.decision.fleet

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * State of one target as known to this host; immutable, so that the router reads it without a lock.
 *
 * @property lastReport the last load report; null before the first one.
 * @property lastReportAt time at which the last report was received.
 * @property ownInFlight number of this host's requests in flight at the target.
 * @property sentSinceReport number of requests that this host sent after the last report.
 * @property consecutiveFailures number of failed requests since the last success.
 * @property isRefusing whether the target refused a request and has not reported since.
 * @property ejectedUntil end of the last ejection, after failures or a refusal; null if there was none.
 * @property slowStartFrom time of the last recovery, when the target's cache was cold; null if there was none.
 * @property averageDuration moving average of the duration of requests; null before the first one.
 */
public data class TargetRecord(
    public val lastReport: TargetLoad? = null,
    public val lastReportAt: MonotonicInstant? = null,
    public val ownInFlight: Int = 0,
    public val sentSinceReport: Int = 0,
    public val consecutiveFailures: Int = 0,
    public val isRefusing: Boolean = false,
    public val ejectedUntil: MonotonicInstant? = null,
    public val slowStartFrom: MonotonicInstant? = null,
    public val averageDuration: Duration? = null,
) {
    /** Whether the target reported that it is shutting down. */
    public val isLeaving: Boolean get() = lastReport?.leaving ?: false

    /** Whether the target is ejected at [now]. */
    public fun isEjected(now: MonotonicInstant): Boolean = ejectedUntil?.let { now < it } ?: false

    /**
     * The number of requests expected at the target at [now] if each of [hosts] hosts sends as many as this one.
     *
     * All hosts work with the same lagging report, so each request that this host sent after it is counted once for
     * every host. A report older than [STALE_AFTER] is ignored; then only this host's requests in flight are counted,
     * also once for every host.
     */
    public fun expectedRequests(now: MonotonicInstant, hosts: Int): Int {
        val load = lastReport
        val at = lastReportAt
        if (load == null || at == null || now - at > STALE_AFTER) return ownInFlight * hosts
        return maxOf(load.running + load.waiting + sentSinceReport * hosts, ownInFlight)
    }

    /** The share of its usual load, from 0 to 1, that the target may get at [now] during its slow start. */
    public fun slowStartShare(now: MonotonicInstant): Double {
        val since = slowStartFrom ?: return 1.0
        val elapsed = (now - since).inWholeNanoseconds.toDouble() / SLOW_START.inWholeNanoseconds
        return elapsed.coerceIn(MINIMUM_SHARE, 1.0)
    }

    /** Limits of reports and of the slow start. */
    public companion object {
        /** Age above which a load report is ignored. */
        public val STALE_AFTER: Duration = 10.seconds

        /** Duration of the slow start, after which a recovered target gets its full share. */
        public val SLOW_START: Duration = 8.seconds

        private const val MINIMUM_SHARE = 0.1
    }
}
