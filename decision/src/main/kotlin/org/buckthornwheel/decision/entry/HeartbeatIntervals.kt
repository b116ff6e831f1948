package org.buckthornwheel.decision.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How often one host tells another that it is alive.
 *
 * Primary hosts carry the callers: they have to know of each other's work at the replicas of their region, and which
 * hosts of other regions take requests. Hosts that stand by tell the primary ones of their region and hear of these, so
 * that what a host sends grows with the primaries and not with all hosts.
 */
internal class HeartbeatIntervals(
    private val self: EntryHostProfile,
    private val primaries: Set<EntryHostProfile>,
    private val isBusy: Boolean,
) {
    /** The interval towards [host], null if it is told nothing. */
    fun towards(host: EntryHostProfile): Duration? {
        val isPrimary = host in primaries
        if (host.region != self.region) return OTHER_REGION.takeIf { self in primaries && isPrimary }
        return when {
            isPrimary && (isBusy || self in primaries) -> OF_WORK
            isPrimary || self in primaries -> OF_STANDBY
            else -> null
        }
    }

    internal companion object {
        /** Between hosts that share replicas: a request takes some hundred milliseconds. */
        val OF_WORK = 250.milliseconds

        /** Between regions, where each byte costs. */
        val OTHER_REGION = 500.milliseconds

        /** From and to a host without callers: the directory drops a dead host after three. */
        val OF_STANDBY = 1.seconds
    }
}
