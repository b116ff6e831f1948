package org.buckthornwheel.forwarding.exchange

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.decision.placement.PlacementDecision
import org.buckthornwheel.decision.placement.PlacementRequest
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.decision.replica.SoftwareVersion
import org.buckthornwheel.forwarding.connection.TargetPool
import kotlin.time.Duration

/** Result of one placement of a request. */
internal sealed interface PlacementResult {
    /** The request goes to a target; [start] sends it. */
    class Attempting(val attempt: Attempt, val start: () -> Unit) : PlacementResult

    /** No target has a place; the first one is expected after [wait], or it is unknown when. */
    class NoPlace(val wait: Duration?) : PlacementResult

    /** All replicas asked for a pause, the first of which ends after [wait]. */
    class Paused(val wait: Duration) : PlacementResult

    /** A place exists, but is left to a request that waits for it. */
    data object Reserved : PlacementResult

    /** No region that this host may send the request to is among its homes. */
    data object OutsideHomes : PlacementResult

    /** The stream has begun and must not go on, for [reason]: its software version is unknown or has left. */
    class CannotGoOn(val reason: String) : PlacementResult

    /** A place exists, but the request must not be sent once more. */
    data object RetryBudgetExhausted : PlacementResult
}

/** Chooses the target of each attempt of [proxiedRequest] and prepares the attempt. */
internal class PlacementStep(
    private val context: ForwardingContext,
    private val pool: TargetPool,
    private val request: ReceivedRequest,
    private val history: AttemptHistory,
    private val proxiedRequest: ProxiedRequest,
    private val wait: PlaceWait,
) {
    private val policy = request.policy
    private val limited = LimitedPlacement(context)
    private var grantedRetries = 0
    private val lastEventId: String? get() = proxiedRequest.response.lastEventId

    /** Called when the host that forwarded the request has granted a retry out of its own budget. */
    fun onRetryGranted() {
        grantedRetries += 1
    }

    fun next(now: MonotonicInstant): PlacementResult {
        val homes = homes() ?: return PlacementResult.OutsideHomes
        return when (val required = proxiedRequest.version.required(homes, now)) {
            RequiredVersion.Any -> choose(homes, version = null, now)
            is RequiredVersion.Only -> choose(homes, required.version, now)
            RequiredVersion.NotYetKnown -> PlacementResult.NoPlace(wait = null)
            RequiredVersion.Untraceable -> PlacementResult.CannotGoOn("software version of the stream is not known")
        }
    }

    private fun choose(homes: Set<RegionName>, version: SoftwareVersion?, now: MonotonicInstant): PlacementResult {
        val reachable = context.hosts.reachableRegions(now) - history.rejectingRegions
        val placed = placementRequest(homes, version, now)
        val choice = limited.choose(placed, reachable, now)
        if (choice.place != null) return toReplica(choice.place, version, now)
        return when (val decision = choice.decision) {
            is PlacementDecision.Forward -> toRegion(decision, version, now)
            is PlacementDecision.Full -> PlacementResult.NoPlace(choice.earliest(decision.wait))
            is PlacementDecision.Paused -> PlacementResult.Paused(choice.earliest(decision.wait))
            is PlacementDecision.Local -> PlacementResult.NoPlace(choice.limitWait)
            PlacementDecision.NoReplica -> onNoReplica(placed, choice)
        }
    }

    /** A stream does not wait for a software version that has left, since it will not be back in time. */
    private fun onNoReplica(placed: PlacementRequest, choice: PlacementChoice): PlacementResult {
        val mayReturn = !proxiedRequest.version.isTakeUp || context.replicas.of(policy.service).any { state ->
            val replica = state.current
            replica.version == placed.version && !context.replicas.isLeaving(replica.id) &&
                replica.zone !in placed.closedZones &&
                (placed.homeRegions.isEmpty() || replica.region in placed.homeRegions)
        }
        if (mayReturn) return PlacementResult.NoPlace(choice.limitWait)
        return PlacementResult.CannotGoOn("no replica of software version ${placed.version}")
    }

    /**
     * A second attempt beside the one at [running], at a replica of this region with a free slot; null if none may be
     * sent. A second attempt is a retry for the shared budget too.
     */
    fun hedge(running: ReplicaId, now: MonotonicInstant): PlacementResult.Attempting? {
        val homes = homes() ?: return null
        val version = when (val required = proxiedRequest.version.required(homes, now)) {
            RequiredVersion.Any -> null
            is RequiredVersion.Only -> required.version
            RequiredVersion.NotYetKnown, RequiredVersion.Untraceable -> return null
        }
        val placed = placementRequest(homes, version, now).let {
            it.copy(excluded = it.excluded + running, mayForward = false)
        }
        val place = limited.choose(placed, emptySet(), now).place
        val isFree = place != null && place.decision.load.requests < place.decision.replica.slots &&
            wait.mayTake(FoundPlace(place.decision.replica), now)
        val verdict = context.hedges.tryHedge(policy.service, isFree, now)
        val permit = if (Hedging.isPermitted(context, verdict)) context.retries.take(policy.service, now) else null
        if (permit != null && place != null) return attempting(place, version, permit, now)
        place?.claim?.giveBack()
        return null
    }

    /** The regions that may serve the request now, empty if all may; null if this host cannot send it to any. */
    private fun homes(): Set<RegionName>? =
        proxiedRequest.homes.regions.takeIf { policy.mayForward || proxiedRequest.homes.permit(context.hosts.region) }

    private fun placementRequest(
        homes: Set<RegionName>,
        version: SoftwareVersion?,
        now: MonotonicInstant,
    ): PlacementRequest = PlacementRequest(
        service = policy.service,
        promptTokens = request.metadata.promptTokens,
        outputTokens = request.metadata.expectedOutputTokens ?: request.metadata.outputTokens,
        parts = request.metadata.parts,
        priority = policy.priority,
        targetLatency = policy.targetLatency,
        remaining = policy.deadline - now,
        homeRegions = homes,
        excluded = history.excludedReplicas,
        closedZones = context.routingState.closedZones,
        mayForward = policy.mayForward && !proxiedRequest.quarantine.isProbe,
        isUrgent = policy.priority == 0,
        queueTarget = context.routingState.manifest?.shortestTarget(policy.service, policy.priority)
            ?: policy.targetLatency,
        version = version,
    )

    private fun toReplica(place: ReplicaPlace, version: SoftwareVersion?, now: MonotonicInstant): PlacementResult {
        val replica = place.decision.replica
        if (!wait.mayTake(FoundPlace(replica), now)) {
            place.claim.giveBack()
            return PlacementResult.Reserved
        }
        val permit = permit(now)
        if (permit == null) {
            place.claim.giveBack()
            return PlacementResult.RetryBudgetExhausted
        }
        return attempting(place, version, permit, now)
    }

    /** What the next attempt takes of the shared budget, which is nothing for the first one; null if it is used up. */
    private fun permit(now: MonotonicInstant): RetryPermit? {
        if (history.arrivals == 0) return RetryPermit {}
        if (grantedRetries == 0) return context.retries.take(policy.service, now)
        grantedRetries -= 1
        return RetryPermit(::onRetryGranted)
    }

    private fun attempting(
        place: ReplicaPlace,
        version: SoftwareVersion?,
        permit: RetryPermit,
        now: MonotonicInstant,
    ): PlacementResult.Attempting {
        val decision = place.decision
        val isBound = version != null
        val attempt = ReplicaAttempt(context, proxiedRequest, place.state, decision, place.claim, permit, isBound, now)
        return PlacementResult.Attempting(attempt) {
            val headers = RequestHeaders.forReplica(context, request, decision, policy.deadline - now, lastEventId)
            attempt.start(pool, headers, request, lastEventId)
        }
    }

    private fun toRegion(
        decision: PlacementDecision.Forward,
        version: SoftwareVersion?,
        now: MonotonicInstant,
    ): PlacementResult {
        val reachable = context.hosts.primaries(decision.region, now).filter(history::permits)
        val host = reachable.filter { it.zone == decision.zone }.randomOrNull() ?: reachable.randomOrNull()
        if (host == null) return PlacementResult.NoPlace(wait = null)
        if (!wait.mayTake(FoundPlace(decision.region, replica = null, version), now)) return PlacementResult.Reserved
        val permit = permit(now) ?: return PlacementResult.RetryBudgetExhausted
        context.meters.forwarded()
        val attempt = PeerAttempt(context, proxiedRequest, host, permit, version, now)
        return PlacementResult.Attempting(attempt) {
            val homes = proxiedRequest.homes
            val current = policy.copy(
                homeRegions = homes.regions.orEmpty(),
                version = homes.version,
                softwareVersion = version,
            )
            val envelope = PeerEnvelope.of(current, history.remaining, context.hosts.name, now)
            attempt.start(pool, RequestHeaders.forPeer(context, request, envelope, lastEventId), request)
        }
    }
}
