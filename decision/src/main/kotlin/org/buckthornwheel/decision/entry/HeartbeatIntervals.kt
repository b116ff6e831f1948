package org.buckthornwheel.decision.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Chooses how often one host sends heartbeats to another.
 *
 * Primary hosts serve the callers: they need each other's load at the replicas of their region, and the hosts of other
 * regions that accept requests. Standby hosts exchange heartbeats only with the primary hosts of their region, so that
 * the traffic of a host grows with the number of primary hosts and not with the number of all hosts.
 */
internal class HeartbeatIntervals(
    private val self: EntryHostProfile,
    private val primaries: Set<EntryHostProfile>,
    private val isBusy: Boolean,
) {
    /** The interval between heartbeats to [host]; null if it is sent none. */
    fun intervalTo(host: EntryHostProfile): Duration? {
        val isPrimary = host in primaries
        if (host.region != self.region) return OTHER_REGION.takeIf { self in primaries && isPrimary }
        return when {
            isPrimary && (isBusy || self in primaries) -> SHARED_REPLICAS
            isPrimary || self in primaries -> STANDBY
            else -> null
        }
    }

    internal companion object {
        /** Between hosts that share replicas; a request takes a few hundred milliseconds. */
        val SHARED_REPLICAS = 250.milliseconds

        /** Between regions, where bandwidth is expensive. */
        val OTHER_REGION = 500.milliseconds

        /** To and from a standby host; callers are no longer directed to a host that missed three heartbeats. */
        val STANDBY = 1.seconds
    }
}
