package org.buckthornwheel.daemon.request

import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.fleet.TargetFleet
import org.buckthornwheel.decision.routing.PredictiveRouter
import org.buckthornwheel.decision.routing.RemoteZoneStates
import org.buckthornwheel.decision.routing.Router
import org.buckthornwheel.decision.routing.SharingHosts
import org.buckthornwheel.decision.routing.baseline.HomeOnlyRouter
import org.buckthornwheel.decision.routing.baseline.LeastLoadedRouter
import org.buckthornwheel.decision.routing.baseline.RandomRouter
import org.buckthornwheel.settings.RoutingPolicy

/** Creates the router for the routing policy in the settings. */
internal class RouterFactory(
    private val zone: ZoneName,
    private val fleet: TargetFleet,
    private val zoneStates: RemoteZoneStates,
    private val hosts: SharingHosts,
) {
    fun create(policy: RoutingPolicy): Router = when (policy) {
        RoutingPolicy.PREDICTIVE -> PredictiveRouter(zone, fleet, zoneStates, hosts)
        RoutingPolicy.LEAST_LOADED -> LeastLoadedRouter(zone, fleet, zoneStates)
        RoutingPolicy.RANDOM -> RandomRouter(zone, fleet)
        RoutingPolicy.HOME_ONLY -> HomeOnlyRouter(zone, fleet)
    }
}
