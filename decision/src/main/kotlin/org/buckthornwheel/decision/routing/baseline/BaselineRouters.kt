/*
 * Simple routers that the benches compare the predictive one with.
 *
 * Each obeys residency and the bound on forwards; none looks at distance, caches, or the age of what it knows.
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

/** Own zone first, fewest expected requests first; other zones only when the own one has no usable target. */
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

/** The own zone's target with the fewest expected requests, and never another zone. */
public class HomeOnlyRouter(private val zone: ZoneName, private val fleet: TargetFleet) : Router {
    override fun route(estate: Estate, request: RouteRequest, now: MonotonicInstant): RouteDecision {
        val best = permitted(estate, request)
            .filter { it.zone == zone && isUsable(fleet, it, now) }
            .minByOrNull { utilisation(fleet, it, now) }
        return best?.let { RouteDecision.Local(it) } ?: RouteDecision.NoPermittedTarget
    }
}

/** Any permitted target, by the request's seed alone. */
public class RandomRouter(private val zone: ZoneName, private val fleet: TargetFleet) : Router {
    override fun route(estate: Estate, request: RouteRequest, now: MonotonicInstant): RouteDecision {
        val usable = permitted(estate, request)
            .filter { it.zone == zone || request.mayForward }
            .filter { isUsable(fleet, it, now) }
        if (usable.isEmpty()) return RouteDecision.NoPermittedTarget
        return decisionFor(zone, usable[Random(request.seed).nextInt(usable.size)])
    }
}

/** The zone, or in the own zone the target, with the smallest share of its places taken, wherever it stands. */
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
        if (target.zone == zone) return utilisation(fleet, target, now)
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

private fun utilisation(fleet: TargetFleet, target: TargetItem, now: MonotonicInstant): Double =
    fleet.shard(target.name).record.expectedRequests(now, hosts = 1).toDouble() / target.capacity
