/*
 * Simple routers used as baselines for the predictive router in benchmarks.
 *
 * Each one respects residency and the hop limit; none considers network delay, prefix caches, or staleness of loads.
 */

package org.buckthornwheel.decision.routing.baseline

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.api.estate.TargetItem
import org.buckthornwheel.decision.estate.Estate
import org.buckthornwheel.decision.fleet.TargetFleet
import org.buckthornwheel.decision.routing.RemoteZoneStates
import org.buckthornwheel.decision.routing.RouteDecision
import org.buckthornwheel.decision.routing.RouteRequest
import org.buckthornwheel.decision.routing.Router
import kotlin.random.Random

/** Chooses the least loaded target of the local zone, and another zone only if the local one has no usable target. */
public class HomeFirstRouter(private val zone: ZoneName, private val fleet: TargetFleet) : Router {
    private val homeOnly = HomeOnlyRouter(zone, fleet)

    override fun route(estate: Estate, request: RouteRequest, now: MonotonicInstant): RouteDecision {
        val local = homeOnly.route(estate, request, now)
        if (local is RouteDecision.Local || !request.mayForward) return local
        val zones = permitted(estate, request).map { it.zone }.distinct().filter { it != zone }
        if (zones.isEmpty()) return RouteDecision.NoPermittedTarget
        val home = estate.index.regionOf(zone)
        return RouteDecision.Forward(zones.sortedBy { estate.index.regionOf(it) != home })
    }
}

/** Chooses the least loaded target of the local zone, and never another zone. */
public class HomeOnlyRouter(private val zone: ZoneName, private val fleet: TargetFleet) : Router {
    override fun route(estate: Estate, request: RouteRequest, now: MonotonicInstant): RouteDecision {
        val best = permitted(estate, request)
            .filter { it.zone == zone && isUsable(fleet, it, now) }
            .minByOrNull { utilization(fleet, it, now) }
        return best?.let { RouteDecision.Local(it) } ?: RouteDecision.NoPermittedTarget
    }
}

/** Chooses a random permitted target by the request's seed. */
public class RandomRouter(private val zone: ZoneName, private val fleet: TargetFleet) : Router {
    override fun route(estate: Estate, request: RouteRequest, now: MonotonicInstant): RouteDecision {
        val usable = permitted(estate, request)
            .filter { it.zone == zone || request.mayForward }
            .filter { isUsable(fleet, it, now) }
        if (usable.isEmpty()) return RouteDecision.NoPermittedTarget
        return decisionFor(zone, usable[Random(request.seed).nextInt(usable.size)])
    }
}

/** Chooses the local target or the remote zone with the lowest utilization, regardless of network delay. */
public class LeastLoadedRouter(
    private val zone: ZoneName,
    private val fleet: TargetFleet,
    private val zoneStates: RemoteZoneStates,
) : Router {
    override fun route(estate: Estate, request: RouteRequest, now: MonotonicInstant): RouteDecision {
        val best = permitted(estate, request)
            .filter { it.zone == zone || request.mayForward }
            .filter { isUsable(fleet, it, now) }
            .minByOrNull { loadOf(it, request, now) }
        return best?.let { decisionFor(zone, it) } ?: RouteDecision.NoPermittedTarget
    }

    private fun loadOf(target: TargetItem, request: RouteRequest, now: MonotonicInstant): Double {
        if (target.zone == zone) return utilization(fleet, target, now)
        val load = request.work?.let { zoneStates.load(target.zone, it) } ?: return Double.MAX_VALUE
        return (load.running + load.waiting).toDouble() / load.capacity.coerceAtLeast(1)
    }
}

private fun decisionFor(zone: ZoneName, target: TargetItem): RouteDecision =
    if (target.zone == zone) RouteDecision.Local(target) else RouteDecision.Forward(listOf(target.zone))

private fun permitted(estate: Estate, request: RouteRequest): List<TargetItem> {
    val permitted = request.permittedRegions
    return request.candidates
        .filter { permitted == null || estate.index.regionOf(it.zone) in permitted }
        .filter { it.name !in request.excluded && it.zone !in request.visitedZones }
}

private fun isUsable(fleet: TargetFleet, target: TargetItem, now: MonotonicInstant): Boolean {
    val state = fleet.state(target.name, now)
    return !state.ejected && state.lastReport?.leaving != true
}

private fun utilization(fleet: TargetFleet, target: TargetItem, now: MonotonicInstant): Double =
    fleet.shard(target.name).record.expectedRequests(now, hosts = 1).toDouble() / target.capacity
