/*
 * Decides about hedged attempts: second attempts of repeatable requests whose first attempt is late.
 *
 * Load pattern: nearly all responses start about as predicted, and a few take many times as long, because their replica
 * has stalled or their response is lost. While a service is short of places, all responses are late and a hedge would
 * only add to the load, so none is sent.
 */

package org.buckthornwheel.decision.attempt

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The extra work that the operator accepts.
 *
 * @property share hedged attempts for each request of a service, from 0 (none) to 1.
 * @property window time over which the share is kept.
 */
public data class HedgeLimit(public val share: Double, public val window: Duration) {
    /** Whether requests are hedged at all. */
    public val isOn: Boolean get() = share > 0

    /** Predefined limits. */
    public companion object {
        /** No extra work. */
        public val NONE: HedgeLimit = HedgeLimit(share = 0.0, window = 10.seconds)
    }
}

/** Whether a hedged attempt may be sent, or why not. */
public enum class HedgeVerdict {
    /** It may be sent, and counts towards the limit. */
    PERMITTED,

    /** The operator's limit for the window is used up. */
    LIMIT_REACHED,

    /** No sound replica has a free place. */
    NO_FREE_PLACE,

    /** Recent hedged attempts hardly ever responded first. */
    NO_GAIN,
}

/** Decides on the hedged attempts of one host; the sum over all hosts keeps the [limit] too. Thread-safe. */
public class HedgePolicy(private val limit: HedgeLimit) {
    private class ServiceRecord(window: Duration) {
        val requests = EventWindow(window)
        val hedges = EventWindow(window)
        val lateness = LatenessSamples()
        var ended = 0
        var won = 0
        var pausedUntil: MonotonicInstant? = null
    }

    private val lock = Any()
    private val records = HashMap<ServiceName, ServiceRecord>()

    /** Records a caller's request for [service], to which the share refers. */
    public fun recordRequest(service: ServiceName, now: MonotonicInstant) {
        if (limit.isOn) synchronized(lock) { record(service).requests.add(now) }
    }

    /** Records that a first attempt at [service] responded, or was overtaken, after [actual] of [predicted]. */
    public fun recordStart(service: ServiceName, predicted: Duration, actual: Duration) {
        if (!limit.isOn || !predicted.isPositive()) return
        synchronized(lock) { record(service).lateness.add(actual / predicted) }
    }

    /**
     * The time after which a first attempt with the [predicted] time to its response counts as late: as few requests as
     * the limit permits to hedge take longer. Null if requests are not hedged or too few were seen.
     */
    public fun delay(service: ServiceName, predicted: Duration): Duration? {
        if (!limit.isOn || !predicted.isPositive()) return null
        val ratio = synchronized(lock) { record(service).lateness.exceededBy(limit.share) } ?: return null
        return predicted * maxOf(MINIMUM_RATIO, ratio)
    }

    /** Whether a late request of [service] may be hedged; [hasFreePlace] is whether a replica is free for it. */
    public fun tryHedge(service: ServiceName, hasFreePlace: Boolean, now: MonotonicInstant): HedgeVerdict =
        synchronized(lock) {
            val record = record(service)
            val isPaused = record.pausedUntil?.let { now < it } ?: false
            when {
                isPaused -> HedgeVerdict.NO_GAIN
                record.hedges.count(now) + 1 > limit.share * record.requests.count(now) -> HedgeVerdict.LIMIT_REACHED
                !hasFreePlace -> HedgeVerdict.NO_FREE_PLACE
                else -> HedgeVerdict.PERMITTED.also { record.hedges.add(now) }
            }
        }

    /** Records whether a hedged attempt at [service] [won]: its response reached the caller. */
    public fun recordEnd(service: ServiceName, won: Boolean, now: MonotonicInstant): Unit = synchronized(lock) {
        val record = record(service)
        record.ended += 1
        if (won) record.won += 1
        if (record.ended < ENDS_TO_JUDGE) return@synchronized
        if (record.won < record.ended * MINIMUM_WON_SHARE) record.pausedUntil = now + limit.window
        record.ended = 0
        record.won = 0
    }

    private fun record(service: ServiceName): ServiceRecord = records.getOrPut(service) { ServiceRecord(limit.window) }

    private companion object {
        /** An attempt is not late before its predicted time is over. */
        const val MINIMUM_RATIO = 1.0

        /** Hedged attempts after which their gain is judged. */
        const val ENDS_TO_JUDGE = 20

        /** Smaller shares of won attempts do not pay for the extra work. */
        const val MINIMUM_WON_SHARE = 0.1
    }
}
