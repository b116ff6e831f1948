package org.buckthornwheel.decision.fleet

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What this host knows of one target at one moment; immutable, so that the router reads it without a lock.
 *
 * @property lastReport the last load report; null if none came yet.
 * @property lastReportAt when it was heard.
 * @property ownInFlight requests of this host at the target.
 * @property sentSinceReport requests of this host sent after the last report.
 * @property consecutiveFailures failed requests since the last success.
 * @property isRefusing whether the target refused its last connection and has not reported since.
 * @property outUntil when the target may be used again after failures; null if it never was out.
 * @property returnedAt when it was last back after an absence; its cache was cold then.
 * @property averageDuration how long its requests took lately, a moving average; null before the first one.
 */
public data class TargetRecord(
    public val lastReport: TargetLoad? = null,
    public val lastReportAt: MonotonicInstant? = null,
    public val ownInFlight: Int = 0,
    public val sentSinceReport: Int = 0,
    public val consecutiveFailures: Int = 0,
    public val isRefusing: Boolean = false,
    public val outUntil: MonotonicInstant? = null,
    public val returnedAt: MonotonicInstant? = null,
    public val averageDuration: Duration? = null,
) {
    /** Whether the target said that it is leaving. */
    public val isLeaving: Boolean get() = lastReport?.leaving ?: false

    /** Whether failures keep the target out at [now]. */
    public fun isOut(now: MonotonicInstant): Boolean = outUntil?.let { now < it } ?: false

    /**
     * The requests expected at the target at [now], when [hosts] hosts send to it alike.
     *
     * Other hosts share the same lagging report, so each own request sent since then stands for one of each host.
     * A report older than [STALE_AFTER] says nothing any more; what this host has in flight then counts alone.
     */
    public fun expectedRequests(now: MonotonicInstant, hosts: Int): Int {
        val load = lastReport
        val at = lastReportAt
        if (load == null || at == null || now - at > STALE_AFTER) return ownInFlight * hosts
        return maxOf(load.running + load.waiting + sentSinceReport * hosts, ownInFlight)
    }

    /** The share of its usual work, from 0 to 1, that a target with a cold cache may get at [now]. */
    public fun rampShare(now: MonotonicInstant): Double {
        val since = returnedAt ?: return 1.0
        val elapsed = (now - since).inWholeNanoseconds.toDouble() / RAMP.inWholeNanoseconds
        return elapsed.coerceIn(LEAST_SHARE, 1.0)
    }

    /** Times and shares of the record's rules. */
    public companion object {
        /** Age after which a load report is left out of account. */
        public val STALE_AFTER: Duration = 10.seconds

        /** Time over which a returning target comes up to its whole share. */
        public val RAMP: Duration = 8.seconds

        private const val LEAST_SHARE = 0.1
    }
}
