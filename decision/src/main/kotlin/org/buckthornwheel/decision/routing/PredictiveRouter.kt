package org.buckthornwheel.decision.routing

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.estate.Estate
import org.buckthornwheel.decision.fleet.TargetFleet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How many hosts of the own zone, this one included, share its targets and links. */
public fun interface SharingHosts {
    /** The number now, at least 1. */
    public fun count(): Int
}

/**
 * Chooses by predicted time to the first token.
 *
 * Residency comes first and is a filter over zones that nothing later widens. A target of the own zone is taken
 * unless the predicted wait there exceeds that of another zone by more than the way and the operator's bias cost.
 */
public class PredictiveRouter(
    zone: ZoneName,
    fleet: TargetFleet,
    zoneStates: RemoteZoneStates,
    private val hosts: SharingHosts,
) : Router {
    private val plans = RoutePlans(zone, fleet)
    private val remote = RemoteChoice(zoneStates)

    override fun route(estate: Estate, request: RouteRequest, now: MonotonicInstant): RouteDecision {
        val plan = plans.of(estate, request.candidates)
        val sharing = hosts.count().coerceAtLeast(1)
        val local = if (plan.isHomePermitted(request.permittedRegions)) {
            LocalChoice(plan.local, sharing).choose(request, now)
        } else {
            null
        }
        if (local == null) return elsewhere(estate, plan, request, sharing, now)
        return localOrAway(estate, plan, request, local, sharing, now)
    }

    private fun localOrAway(
        estate: Estate,
        plan: RoutePlan,
        request: RouteRequest,
        local: PlannedTarget,
        sharing: Int,
        now: MonotonicInstant,
    ): RouteDecision {
        val record = local.shard.record
        val duration = record.averageDuration ?: DEFAULT_DURATION
        val wait = predictedWait(record.expectedRequests(now, hosts = 1), local.capacity, duration)
        if (wait == Duration.ZERO) return RouteDecision.Local(local.item)
        val away = remote.overflow(plan, request, wait, LinkTerms.of(estate.policy, sharing, duration), now)
        return if (away == null) RouteDecision.Local(local.item, wait) else RouteDecision.Forward(listOf(away))
    }

    private fun elsewhere(
        estate: Estate,
        plan: RoutePlan,
        request: RouteRequest,
        sharing: Int,
        now: MonotonicInstant,
    ): RouteDecision {
        val terms = LinkTerms.of(estate.policy, sharing, DEFAULT_DURATION)
        val zones = remote.forced(plan, request, terms, now)
        return if (zones.isEmpty()) RouteDecision.NoPermittedTarget else RouteDecision.Forward(zones)
    }

    private companion object {
        val DEFAULT_DURATION = 1.seconds
    }
}
