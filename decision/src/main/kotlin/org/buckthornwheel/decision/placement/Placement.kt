/*
 * Chooses the replica, or the region, for one request.
 *
 * Each candidate gets a predicted time until its answer begins: the way there, the wait for a slot, the tokens that
 * are still to be read. Prompt parts that several requests share have a preferred replica in each region, by rendezvous
 * hashing, so that hosts which do not talk to each other build up the same caches.
 */

package org.buckthornwheel.decision.placement

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.decision.replica.Replica
import org.buckthornwheel.decision.replica.ReplicaRegistry
import org.buckthornwheel.decision.replica.ReplicaSnapshot
import org.buckthornwheel.decision.routing.RendezvousHash
import kotlin.time.Duration.Companion.milliseconds

/**
 * Rules of placement for one host.
 *
 * @property distances how far the replicas are from the host.
 * @property coldReplicaPolicy which cold replicas of the own region this host may use.
 */
public class Placement(
    private val distances: Distances,
    private val replicas: ReplicaRegistry,
    private val costs: CostModel = CostModel(),
    private val coldReplicaPolicy: ColdReplicaPolicy = ColdReplicaPolicy { _, _ -> true },
) {
    private val region = distances.region
    private val queues = QueueRules(costs)

    private class Candidate(
        val snapshot: ReplicaSnapshot,
        val missing: Int,
        val begin: Double,
        val cost: Double,
        val fetchFrom: Replica?,
    )

    /** What is known of the service's replicas, and the one that keeps most of the prompt. */
    private class Known(val usable: List<ReplicaSnapshot>, val keeper: ReplicaSnapshot?)

    /** The place for [request] at [now]; [reachable] are the other regions with a host that answers. */
    public fun choose(
        request: PlacementRequest,
        reachable: Set<RegionName>,
        now: MonotonicInstant,
    ): PlacementDecision {
        val known = known(request, reachable, now)
        val usable = known.usable
        if (usable.isEmpty()) return PlacementDecision.NoReplica
        val preferred = preferredReplicas(request, usable)
        val best = usable
            .filter { queues.hasRoom(it, request) }
            .map { candidate(it, request, known.keeper, isPreferred = it.replica.id.value in preferred) }
            .minByOrNull { it.cost }
            ?: return PlacementDecision.Full(usable.minOf { costs.slotWaitMilliseconds(it) }.milliseconds)
        return decision(best)
    }

    private fun known(request: PlacementRequest, reachable: Set<RegionName>, now: MonotonicInstant): Known {
        val all = replicas.of(request.service).map { it.snapshot(request.parts, now) }
        val found = all.filter { isPermitted(it, request, reachable, now) }
        val usable = found.filterNot { it.isOut }.ifEmpty { lastResort(found) }
        return Known(usable, all.filter { mayHandOver(it, request) }.maxByOrNull { it.cachedTokens })
    }

    /** Prompts leave the memory of a replica only towards regions that may serve them. */
    private fun mayHandOver(snapshot: ReplicaSnapshot, request: PlacementRequest): Boolean =
        snapshot.cachedTokens >= LEAST_FETCHED_TOKENS && !snapshot.isOut &&
            (request.homeRegions.isEmpty() || snapshot.replica.region in request.homeRegions)

    /** Replicas that rest after failures are better than none, as long as one of them answers now and then. */
    private fun lastResort(resting: List<ReplicaSnapshot>): List<ReplicaSnapshot> =
        if (resting.size > 1) emptyList() else resting

    private fun isPermitted(
        snapshot: ReplicaSnapshot,
        request: PlacementRequest,
        reachable: Set<RegionName>,
        now: MonotonicInstant,
    ): Boolean {
        val replica = snapshot.replica
        if (replica.isDraining || replica.id in request.excluded || replica.zone in request.closedZones) return false
        if (request.homeRegions.isNotEmpty() && replica.region !in request.homeRegions) return false
        if (replica.region != region) return request.mayForward && replica.region in reachable && !snapshot.isCold
        return !snapshot.isCold || (snapshot.mayTakeColdRequest && coldReplicaPolicy.permits(replica, now))
    }

    private fun candidate(
        snapshot: ReplicaSnapshot,
        request: PlacementRequest,
        keeper: ReplicaSnapshot?,
        isPreferred: Boolean,
    ): Candidate {
        val kept = if (isPreferred) maxOf(snapshot.cachedTokens, sharedTokens(request)) else snapshot.cachedTokens
        val gain = keeper?.let { it.cachedTokens - snapshot.cachedTokens } ?: 0
        val fetches = keeper != null && gain >= LEAST_FETCHED_TOKENS
        val known = if (fetches) maxOf(kept, snapshot.cachedTokens + gain) else kept
        val missing = maxOf(0, request.promptTokens - known)
        val fetch = if (fetches) costs.fetchMilliseconds(gain) else 0.0
        val begin = costs.beginMilliseconds(snapshot, missing) + fetch
        val way = distances.wayMilliseconds(snapshot.replica)
        val crowding = snapshot.load.requests * CROWDING_MILLISECONDS / maxOf(1, snapshot.replica.slots)
        val detour = if (fetches) costs.detourMilliseconds else 0.0
        val source = keeper?.replica.takeIf { fetches }
        val displacement = costs.displacementMilliseconds(snapshot, request.isUrgent)
        val preference = distances.preferenceMilliseconds(snapshot.replica)
        val cost = begin + way + crowding + detour + displacement + preference
        return Candidate(snapshot, missing, begin + way, cost, source)
    }

    private fun sharedTokens(request: PlacementRequest): Int = request.parts.dropLast(1).sumOf { it.tokens }

    /** The replica of each region that should keep the longest shared part. */
    private fun preferredReplicas(request: PlacementRequest, usable: List<ReplicaSnapshot>): Set<String> {
        val shared = request.parts.dropLast(1).maxByOrNull { it.tokens } ?: return emptySet()
        if (shared.tokens < LEAST_SHARED_TOKENS) return emptySet()
        return usable.groupBy { it.replica.region }
            .mapNotNull { (_, list) -> list.maxByOrNull { RendezvousHash.weight(shared.id, it.replica.id.value) } }
            .mapTo(HashSet()) { it.replica.id.value }
    }

    private fun decision(best: Candidate): PlacementDecision {
        val replica = best.snapshot.replica
        val predicted = best.begin.milliseconds
        if (replica.region != region) return PlacementDecision.Forward(replica.region, replica.zone, predicted)
        return PlacementDecision.Local(replica, best.missing, best.snapshot.load, predicted, best.fetchFrom)
    }

    private companion object {
        /** Slowing of a full batch against an empty one, by which equal replicas are told apart. */
        const val CROWDING_MILLISECONDS = 60.0

        /** Kept tokens that are worth a transfer: they take some ten milliseconds to read. */
        const val LEAST_FETCHED_TOKENS = 1_024

        /** Parts below this size are not worth a detour: they are read in about two milliseconds. */
        const val LEAST_SHARED_TOKENS = 256
    }
}
