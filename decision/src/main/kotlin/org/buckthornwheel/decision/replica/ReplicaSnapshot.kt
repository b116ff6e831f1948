package org.buckthornwheel.decision.replica

import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * State of a replica at one moment, as a placement needs it.
 *
 * @property cachedTokens leading tokens of the request's prompt that are estimated to be cached.
 * @property averageServiceTime average time for which a request occupies a slot; null before the first response.
 * @property slowness average ratio of the actual to the predicted time to the first event.
 * @property restriction why it gets no new requests; null if it may get some.
 * @property canSendColdRequest whether the interval after the last request to the cold replica is over.
 * @property isRunCertain whether the replica still is the registered run, as far as is known, so that the registration
 *   tells its software version.
 */
public data class ReplicaSnapshot(
    public val replica: Replica,
    public val load: ReplicaLoad,
    public val tokenCapacity: Long,
    public val cachedTokens: Int,
    public val averageServiceTime: Duration?,
    public val slowness: Double,
    public val restriction: ReplicaRestriction?,
    public val isCold: Boolean,
    public val canSendColdRequest: Boolean,
    public val isRunCertain: Boolean = true,
) {
    /** Whether it gets no new requests, unless it is the only one and did not say so itself. */
    public val isUnavailable: Boolean get() = restriction != null

    /** Whether it wants no more requests, so that it gets none even if it is the only one. */
    public val isBarred: Boolean get() = restriction?.isBinding ?: false

    /** The average service time in milliseconds; [default] before the first response. */
    public fun averageServiceMilliseconds(default: Double): Double =
        averageServiceTime?.toDouble(DurationUnit.MILLISECONDS) ?: default
}
