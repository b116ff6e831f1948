package org.buckthornwheel.forwarding.exchange

import org.buckthornwheel.api.RegionName
import org.buckthornwheel.decision.entry.EntryHost
import org.buckthornwheel.decision.replica.ReplicaId

/**
 * What became of the attempts of one request: where it must not go again, and whether it may have run.
 *
 * @property maximum attempts that the route permits.
 */
internal class AttemptHistory(private val maximum: Int) {
    private val replicas = HashSet<ReplicaId>()
    private val hosts = HashSet<String>()
    private val regions = HashSet<RegionName>()
    private var possibleRuns = 0

    /** Attempts that reached a target. */
    var count: Int = 0
        private set

    /** Replicas that get the request no more. */
    val excludedReplicas: Set<ReplicaId> get() = replicas

    /** Regions that had no place for it. */
    val rejectingRegions: Set<RegionName> get() = regions

    /** Whether some target may have run the request. */
    val mayHaveRun: Boolean get() = possibleRuns > 0

    /** Attempts that are left. */
    val left: Int get() = maximum - count

    /** Whether [host] may get the request. */
    fun permits(host: EntryHost): Boolean = host.name.value !in hosts

    /** A request was written to a target. */
    fun sent() {
        count += 1
        possibleRuns += 1
    }

    /** The attempt at [replica] or at the host [peer] failed. */
    fun failed(replica: ReplicaId?, peer: String?) {
        replica?.let { replicas += it }
        peer?.let { hosts += it }
    }

    /** The replica certainly did not run the request; [counts] tells whether it was the right one. */
    fun notRun(replica: ReplicaId, counts: Boolean) {
        replicas += replica
        possibleRuns -= 1
        if (!counts) count -= 1
    }

    /** The host that was asked in [region] certainly had no replica run the request. */
    fun regionRejected(region: RegionName, outcome: PeerOutcome) {
        possibleRuns -= 1
        if (outcome == PeerOutcome.NOT_RUN) return
        count -= 1
        regions += region
    }
}
