package org.buckthornwheel.decision.fleet

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.TargetName
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Load and health of every target as known to this host.
 *
 * The state is sharded by target, with a separate lock for each shard, so that requests to different targets do not
 * wait for each other.
 */
public class TargetFleet(private val limits: FleetLimits) {
    private val shards = ConcurrentHashMap<TargetName, TargetShard>()
    private val removalCount = AtomicInteger()

    /** Records a load report of [target], received at [now]. */
    public fun report(target: TargetName, load: TargetLoad, now: MonotonicInstant): Unit =
        shard(target).report(load, now)

    /** Counts a request sent to [target]; each call has to be followed by one call of [recordEnd]. */
    public fun recordStart(target: TargetName): Unit = shard(target).recordStart()

    /** Records that a request to [target] ended at [now] after [duration], with [result]. */
    public fun recordEnd(
        target: TargetName,
        result: TargetAttemptResult,
        duration: Duration,
        now: MonotonicInstant,
    ): Unit = shard(target).recordEnd(result, duration, now)

    /** The state of [target] at [now]. */
    public fun state(target: TargetName, now: MonotonicInstant): TargetState {
        val record = shard(target).record
        return TargetState(
            lastReport = record.lastReport,
            reportAge = record.lastReportAt?.let { now - it },
            ownInFlight = record.ownInFlight,
            sentSinceReport = record.sentSinceReport,
            ejected = record.isEjected(now),
        )
    }

    /** Removes the state of all targets for which [declared] is false. */
    public fun retain(declared: (TargetName) -> Boolean) {
        if (shards.keys.removeIf { !declared(it) }) removalCount.incrementAndGet()
    }

    /** Number of calls that removed targets; a shard obtained before the last one may be out of use. */
    public val generation: Int get() = removalCount.get()

    /** The shard of [target], which callers may keep to avoid repeated lookups. */
    public fun shard(target: TargetName): TargetShard = shards.computeIfAbsent(target) { TargetShard(limits) }
}

/** Result of an attempt at a target, as far as it concerns the health of the target. */
public enum class TargetAttemptResult {
    /** The target sent a complete response. */
    SUCCEEDED,

    /** The response was an error, incomplete, or too late. */
    FAILED,

    /** The connection failed, or the target rejected new requests. */
    REFUSED,

    /** The caller disconnected, which says nothing about the health of the target. */
    ABANDONED,
}

/** Load report of a target: its running and queued requests, and whether it is shutting down. */
public data class TargetLoad(public val running: Int, public val waiting: Int, public val leaving: Boolean)

/**
 * State of a target at one moment.
 *
 * @property lastReport the last load report; null before the first one.
 * @property reportAge age of the last report; null before the first one.
 * @property ownInFlight number of this host's requests in flight at the target.
 * @property sentSinceReport number of requests that this host sent after the last report.
 * @property ejected whether the target is ejected after repeated failures or a refusal.
 */
public data class TargetState(
    public val lastReport: TargetLoad?,
    public val reportAge: Duration?,
    public val ownInFlight: Int,
    public val sentSinceReport: Int,
    public val ejected: Boolean,
)

/**
 * Limits of the outlier ejection and slow start of targets.
 *
 * @property failuresToEject number of consecutive failures after which a target is ejected.
 * @property ejectionTime time for which a target is ejected.
 * @property silenceBeforeSlowStart time without a report after which the next report begins a slow start.
 */
public data class FleetLimits(
    public val failuresToEject: Int,
    public val ejectionTime: Duration,
    public val silenceBeforeSlowStart: Duration = 10.seconds,
)
