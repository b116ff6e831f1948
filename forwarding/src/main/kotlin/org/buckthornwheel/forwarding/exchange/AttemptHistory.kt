package org.buckthornwheel.forwarding.exchange

import org.buckthornwheel.api.RegionName
import org.buckthornwheel.decision.entry.EntryHostProfile
import org.buckthornwheel.decision.replica.ReplicaId

/**
 * Results of the attempts of one request: which targets are excluded, and whether one of them may have run the request.
 *
 * @property maximum number of attempts that the route permits.
 */
internal class AttemptHistory(private val maximum: Int) {
    private val triedReplicas = HashSet<ReplicaId>()
    private val failedHosts = HashSet<String>()
    private val fullRegions = HashSet<RegionName>()
    private var possibleRuns = 0

    /** Number of attempts that reached a target and count towards the maximum. */
    var count: Int = 0
        private set

    /** Number of attempts that may have arrived at a replica, also at one that was not the intended one. */
    var arrivals: Int = 0
        private set

    /** Replicas that the request must not be sent to again. */
    val excludedReplicas: Set<ReplicaId> get() = triedReplicas

    /** Regions that rejected the request without sending it to a replica. */
    val rejectingRegions: Set<RegionName> get() = fullRegions

    /** Whether a target may have run the request. */
    val mayHaveRun: Boolean get() = possibleRuns > 0

    /** Number of attempts that are left. */
    val remaining: Int get() = maximum - count

    /** Whether the request may be sent to [host]. */
    fun permits(host: EntryHostProfile): Boolean = host.name.value !in failedHosts

    /** Records that the request was written to a target. */
    fun recordSent() {
        count += 1
        arrivals += 1
        possibleRuns += 1
    }

    /** Records that the attempt at [replica] or at the host [peer] failed. */
    fun recordFailure(replica: ReplicaId?, peer: String?) {
        replica?.let { triedReplicas += it }
        peer?.let { failedHosts += it }
    }

    /**
     * Records that [replica] certainly did not run the request. [counts] is false if another replica than the intended
     * one responded; the attempt then does not count towards the maximum.
     */
    fun recordNotRun(replica: ReplicaId, counts: Boolean) {
        triedReplicas += replica
        possibleRuns -= 1
        if (!counts) count -= 1
    }

    /** Records that the peer host in [region] rejected the request, and that certainly no replica there ran it. */
    fun recordRegionRejection(region: RegionName, outcome: PeerOutcome) {
        possibleRuns -= 1
        if (outcome == PeerOutcome.NOT_RUN) return
        count -= 1
        if (!outcome.hasArrived) arrivals -= 1
        if (outcome != PeerOutcome.HOST_STOPPING) fullRegions += region
    }
}
