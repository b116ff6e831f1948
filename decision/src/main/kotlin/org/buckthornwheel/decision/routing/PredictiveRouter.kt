package org.buckthornwheel.decision.routing

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.estate.Estate
import org.buckthornwheel.decision.fleet.TargetFleet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Counts the hosts of the local zone, including this one, which share its targets and links. */
public fun interface SharingHosts {
    /** The current number, at least 1. */
    public fun count(): Int
}

/**
 * Routes requests by the predicted time to the first token.
 *
 * Residency is applied first, as a filter over zones that no later step widens. A target of the local zone is chosen
 * unless the predicted wait there exceeds that of another zone by more than the round trip and the operator's bias.
 */
public class PredictiveRouter(
    zone: ZoneName,
    fleet: TargetFleet,
    zoneStates: RemoteZoneStates,
    private val hosts: SharingHosts,
) : Router {
    private val plans = RoutePlans(zone, fleet)
    private val remote = RemoteZoneSelector(zoneStates)

    override fun route(estate: Estate, request: RouteRequest, now: MonotonicInstant): RouteDecision {
        val plan = plans.of(estate, request.candidates)
        val hostCount = hosts.count().coerceAtLeast(1)
        val local = if (plan.isLocalRegionPermitted(request.permittedRegions)) {
            LocalTargetSelector(plan.local, hostCount).choose(request, now)
        } else {
            null
        }
        if (local == null) return forward(estate, plan, request, hostCount, now)
        return localOrOverflow(estate, plan, request, local, hostCount, now)
    }

    private fun localOrOverflow(
        estate: Estate,
        plan: RoutePlan,
        request: RouteRequest,
        local: PlannedTarget,
        hostCount: Int,
        now: MonotonicInstant,
    ): RouteDecision {
        val record = local.shard.record
        val duration = record.averageDuration ?: DEFAULT_DURATION
        val wait = predictedWait(record.expectedRequests(now, hosts = 1), local.capacity, duration)
        if (wait == Duration.ZERO) return RouteDecision.Local(local.item)
        val zone = remote.overflowZone(plan, request, wait, ForwardingCosts.of(estate.policy, hostCount, duration), now)
        return if (zone == null) RouteDecision.Local(local.item, wait) else RouteDecision.Forward(listOf(zone))
    }

    private fun forward(
        estate: Estate,
        plan: RoutePlan,
        request: RouteRequest,
        hostCount: Int,
        now: MonotonicInstant,
    ): RouteDecision {
        val costs = ForwardingCosts.of(estate.policy, hostCount, DEFAULT_DURATION)
        val zones = remote.fallbackZones(plan, request, costs, now)
        return if (zones.isEmpty()) RouteDecision.NoPermittedTarget else RouteDecision.Forward(zones)
    }

    private companion object {
        val DEFAULT_DURATION = 1.seconds
    }
}
