package org.buckthornwheel.decision.version

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.replica.ReplicaRestriction
import org.buckthornwheel.decision.replica.ReplicaState
import org.buckthornwheel.decision.replica.SoftwareVersion

/** Counts the replicas of each software version that take new streams. */
public object ShareCount {
    /**
     * The shares that suit the [replicas] of a service at [now]. Cold replicas count only if there are no warm ones,
     * since they take few requests; leaving replicas and those in [closedZones] do not count.
     */
    public fun of(
        replicas: Collection<ReplicaState>,
        closedZones: Set<ZoneName>,
        now: MonotonicInstant,
    ): VersionShares {
        val staying = staying(replicas, closedZones, now)
        val warm = staying.filterNot { it.coldness.isRegisteredCold(now) }
        return VersionShares(
            warm.ifEmpty { staying }.map { it.current }.groupBy { it.version }
                .mapValues { (_, same) -> same.groupingBy { it.region }.eachCount() },
        )
    }

    /** The versions of the [replicas] that may get streams at [now], cold ones included. */
    public fun served(
        replicas: Collection<ReplicaState>,
        closedZones: Set<ZoneName>,
        now: MonotonicInstant,
    ): Set<SoftwareVersion> = staying(replicas, closedZones, now).mapTo(HashSet()) { it.current.version }

    private fun staying(
        replicas: Collection<ReplicaState>,
        closedZones: Set<ZoneName>,
        now: MonotonicInstant,
    ): List<ReplicaState> = replicas.filter { it.current.zone !in closedZones && !isLeaving(it, now) }

    private fun isLeaving(state: ReplicaState, now: MonotonicInstant): Boolean = when (state.restriction(now)) {
        ReplicaRestriction.RegisteredAsLeaving, ReplicaRestriction.AnnouncedLeaving -> true
        else -> false
    }
}
