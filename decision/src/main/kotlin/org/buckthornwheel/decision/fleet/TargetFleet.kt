package org.buckthornwheel.decision.fleet

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.TargetName
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What this host knows of the load and the health of every target.
 *
 * The state is sharded by target, each shard under its own lock, so that requests to different targets
 * do not wait for each other.
 */
public class TargetFleet(private val limits: FleetLimits) {
    private val shards = ConcurrentHashMap<TargetName, TargetShard>()
    private val removals = AtomicInteger()

    /** Takes in a load report of [target], heard at [now]. */
    public fun report(target: TargetName, load: TargetLoad, now: MonotonicInstant): Unit =
        shard(target).report(load, now)

    /** Counts a request sent to [target]; every call is paired with one of [recordEnd]. */
    public fun recordStart(target: TargetName): Unit = shard(target).recordStart()

    /** Counts the end of a request to [target] at [now], after [took], and what it says of the target's health. */
    public fun recordEnd(target: TargetName, end: TargetAttemptResult, took: Duration, now: MonotonicInstant): Unit =
        shard(target).recordEnd(end, took, now)

    /** The state of [target] at [now]. */
    public fun state(target: TargetName, now: MonotonicInstant): TargetState {
        val record = shard(target).record
        return TargetState(
            lastReport = record.lastReport,
            reportAge = record.lastReportAt?.let { now - it },
            ownInFlight = record.ownInFlight,
            sentSinceReport = record.sentSinceReport,
            ejected = record.isOut(now),
        )
    }

    /** Drops what is known of targets for which [declared] is false. */
    public fun retain(declared: (TargetName) -> Boolean) {
        if (shards.keys.removeIf { !declared(it) }) removals.incrementAndGet()
    }

    /** How often targets were dropped; a shard handed out before the last time may be out of use. */
    public val generation: Int get() = removals.get()

    /** The state of [target], to be kept and read again and again without a lookup. */
    public fun shard(target: TargetName): TargetShard = shards.computeIfAbsent(target) { TargetShard(limits) }
}

/** How a request to a target ended, as far as the target's health is concerned. */
public enum class TargetAttemptResult {
    /** The whole answer came. */
    SUCCEEDED,

    /** The answer was an error, broken, or too late. */
    FAILED,

    /** No connection could be made, or the target refused new work. */
    REFUSED,

    /** The caller left; this says nothing of the target. */
    ABANDONED,
}

/** What a target reported of itself: requests running and waiting, and whether it is leaving. */
public data class TargetLoad(public val running: Int, public val waiting: Int, public val leaving: Boolean)

/**
 * The state of a target as the router sees it.
 *
 * @property lastReport the last report; null if none came yet.
 * @property reportAge age of the last report; null if none came yet.
 * @property ownInFlight requests of this host at the target.
 * @property sentSinceReport requests of this host sent after the last report.
 * @property ejected whether repeated failures have taken the target out for a while.
 */
public data class TargetState(
    public val lastReport: TargetLoad?,
    public val reportAge: Duration?,
    public val ownInFlight: Int,
    public val sentSinceReport: Int,
    public val ejected: Boolean,
)

/**
 * Limits of health tracking.
 *
 * @property failuresToEject consecutive failures after which a target is taken out.
 * @property ejectionTime how long it stays out.
 * @property silenceBeforeReturn time without a report after which the next report counts as a return.
 */
public data class FleetLimits(
    public val failuresToEject: Int,
    public val ejectionTime: Duration,
    public val silenceBeforeReturn: Duration = 10.seconds,
)
