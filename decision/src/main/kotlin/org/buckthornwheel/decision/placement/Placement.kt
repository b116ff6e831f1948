package org.buckthornwheel.decision.placement

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.decision.replica.Replica
import org.buckthornwheel.decision.replica.ReplicaRegistry
import org.buckthornwheel.decision.replica.ReplicaRestriction
import org.buckthornwheel.decision.replica.ReplicaSnapshot
import org.buckthornwheel.decision.routing.RendezvousHash
import kotlin.time.Duration.Companion.milliseconds

/**
 * Chooses a replica or another region for each request.
 *
 * For each candidate, predicts the time until its response starts, which consists of network delay, slot wait, and
 * prefill of the tokens that are not cached. A prompt part shared by several requests has a preferred replica in each
 * region, chosen by rendezvous hashing, so that hosts fill the same caches without coordination.
 *
 * @property distances network delays between this host and the replicas.
 * @property coldReplicaPolicy decides which cold replicas of the local region this host may use.
 */
public class Placement(
    private val distances: Distances,
    private val replicas: ReplicaRegistry,
    private val costs: CostModel = CostModel(),
    private val coldReplicaPolicy: ColdReplicaPolicy = ColdReplicaPolicy { _, _ -> true },
) {
    private val region = distances.region
    private val queueLimits = QueueLimits(costs)

    private class Candidate(
        val snapshot: ReplicaSnapshot,
        val missingTokens: Int,
        val responseStart: Double,
        val cost: Double,
        val fetchFrom: Replica?,
    )

    /** The usable replicas of the service, and the replica with the longest cached prefix of the prompt. */
    private class Options(
        val usable: List<ReplicaSnapshot>,
        val cacheHolder: ReplicaSnapshot?,
        val pausedUntil: MonotonicInstant?,
    )

    /** The placement of [request] at [now]; [reachable] are the other regions that have a responding host. */
    public fun choose(
        request: PlacementRequest,
        reachable: Set<RegionName>,
        now: MonotonicInstant,
    ): PlacementDecision {
        val options = options(request, reachable, now)
        val usable = options.usable
        if (usable.isEmpty()) {
            return options.pausedUntil?.let { PlacementDecision.Paused(it - now) } ?: PlacementDecision.NoReplica
        }
        val preferred = preferredReplicas(request, usable)
        val best = usable
            .filter { queueLimits.hasCapacity(it, request) }
            .map { candidate(it, request, options.cacheHolder, isPreferred = it.replica.id.value in preferred) }
            .minByOrNull { it.cost }
            ?: return PlacementDecision.Full(usable.minOf { costs.slotWaitMilliseconds(it) }.milliseconds)
        return decision(best)
    }

    /** Whether this host may send requests to [replica], which is cold or may be. */
    public fun permitsCold(replica: Replica, now: MonotonicInstant): Boolean = coldReplicaPolicy.permits(replica, now)

    private fun options(request: PlacementRequest, reachable: Set<RegionName>, now: MonotonicInstant): Options {
        val all = replicas.of(request.service).map { it.snapshot(request.parts, now) }
        val permitted = all.filter { isPermitted(it, request, reachable, now) }
        val usable = permitted.filterNot { it.isUnavailable }.ifEmpty { lastResort(permitted) }
            .filterNot { it.replica.id in request.limited }
        val cacheHolder = all.filter { canBeFetchedFrom(it, request) }.maxByOrNull { it.cachedTokens }
        return Options(usable, cacheHolder, firstPauseEnd(permitted))
    }

    /** The end of the first pause if all of [permitted] are leaving or paused; null otherwise. */
    private fun firstPauseEnd(permitted: List<ReplicaSnapshot>): MonotonicInstant? {
        val staying = permitted.map { it.restriction }.filterNot { it.isLeaving() }
        val pauses = staying.filterIsInstance<ReplicaRestriction.Paused>()
        return pauses.minOfOrNull { it.until }?.takeIf { pauses.size == staying.size }
    }

    private fun ReplicaRestriction?.isLeaving(): Boolean =
        this == ReplicaRestriction.RegisteredAsLeaving || this == ReplicaRestriction.AnnouncedLeaving

    /** Cached prompts are fetched only from regions that may serve the request. */
    private fun canBeFetchedFrom(snapshot: ReplicaSnapshot, request: PlacementRequest): Boolean =
        snapshot.cachedTokens >= MINIMUM_FETCHED_TOKENS &&
            (!snapshot.isUnavailable || snapshot.restriction == ReplicaRestriction.RegisteredAsLeaving) &&
            (request.homeRegions.isEmpty() || snapshot.replica.region in request.homeRegions)

    /** If a single replica is left, it is used although it is unavailable, since it may still respond now and then. */
    private fun lastResort(unavailable: List<ReplicaSnapshot>): List<ReplicaSnapshot> {
        val willing = unavailable.filterNot { it.isBarred }
        return if (willing.size > 1) emptyList() else willing
    }

    private fun isPermitted(
        snapshot: ReplicaSnapshot,
        request: PlacementRequest,
        reachable: Set<RegionName>,
        now: MonotonicInstant,
    ): Boolean {
        val replica = snapshot.replica
        if (replica.id in request.excluded || replica.zone in request.closedZones || !hasVersion(snapshot, request)) {
            return false
        }
        if (request.homeRegions.isNotEmpty() && replica.region !in request.homeRegions) return false
        if (replica.region != region) return request.mayForward && replica.region in reachable && !snapshot.isCold
        return !snapshot.isCold || (snapshot.canSendColdRequest && coldReplicaPolicy.permits(replica, now))
    }

    /** A replica whose run is not certain may have started again with another version. */
    private fun hasVersion(snapshot: ReplicaSnapshot, request: PlacementRequest): Boolean =
        request.version == null || (request.version == snapshot.replica.version && snapshot.isRunCertain)

    private fun candidate(
        snapshot: ReplicaSnapshot,
        request: PlacementRequest,
        cacheHolder: ReplicaSnapshot?,
        isPreferred: Boolean,
    ): Candidate {
        val cached = if (isPreferred) maxOf(snapshot.cachedTokens, sharedTokens(request)) else snapshot.cachedTokens
        val fetchedTokens = cacheHolder?.let { it.cachedTokens - snapshot.cachedTokens } ?: 0
        val isFetchUseful = cacheHolder != null && fetchedTokens >= MINIMUM_FETCHED_TOKENS
        val available = if (isFetchUseful) maxOf(cached, snapshot.cachedTokens + fetchedTokens) else cached
        val missingTokens = maxOf(0, request.promptTokens - available)
        val fetchTime = if (isFetchUseful) costs.fetchMilliseconds(fetchedTokens) else 0.0
        val responseStart = costs.responseStartMilliseconds(snapshot, missingTokens) + fetchTime
        val networkDelay = distances.networkDelayMilliseconds(snapshot.replica)
        val batchLoad = snapshot.load.requests * FULL_BATCH_MILLISECONDS / maxOf(1, snapshot.replica.slots)
        val fetchPenalty = if (isFetchUseful) costs.fetchPenaltyMilliseconds else 0.0
        val source = cacheHolder?.replica.takeIf { isFetchUseful }
        val preemption = costs.preemptionMilliseconds(snapshot, request.isUrgent)
        val crossZonePenalty = distances.crossZonePenaltyMilliseconds(snapshot.replica)
        val cost = responseStart + networkDelay + batchLoad + fetchPenalty + preemption + crossZonePenalty
        return Candidate(snapshot, missingTokens, responseStart + networkDelay, cost, source)
    }

    private fun sharedTokens(request: PlacementRequest): Int = request.parts.dropLast(1).sumOf { it.tokens }

    /** The replica of each region that should cache the longest shared part. */
    private fun preferredReplicas(request: PlacementRequest, usable: List<ReplicaSnapshot>): Set<String> {
        val shared = request.parts.dropLast(1).maxByOrNull { it.tokens } ?: return emptySet()
        if (shared.tokens < MINIMUM_SHARED_TOKENS) return emptySet()
        return usable.groupBy { it.replica.region }
            .mapNotNull { (_, list) -> list.maxByOrNull { RendezvousHash.weight(shared.id, it.replica.id.value) } }
            .mapTo(HashSet()) { it.replica.id.value }
    }

    private fun decision(best: Candidate): PlacementDecision {
        val replica = best.snapshot.replica
        val predicted = best.responseStart.milliseconds
        if (replica.region != region) return PlacementDecision.Forward(replica.region, replica.zone, predicted)
        return PlacementDecision.Local(replica, best.missingTokens, best.snapshot.load, predicted, best.fetchFrom)
    }

    private companion object {
        /** Delay of a full batch compared to an empty one; decides between otherwise equal replicas. */
        const val FULL_BATCH_MILLISECONDS = 60.0

        /** Fewer cached tokens are not worth a fetch; prefilling this number takes some ten milliseconds. */
        const val MINIMUM_FETCHED_TOKENS = 1_024

        /** Smaller parts get no preferred replica, since prefilling them takes about two milliseconds. */
        const val MINIMUM_SHARED_TOKENS = 256
    }
}
