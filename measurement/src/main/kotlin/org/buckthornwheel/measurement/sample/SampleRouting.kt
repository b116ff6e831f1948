package org.buckthornwheel.measurement.sample

import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.api.estate.TargetItem
import org.buckthornwheel.decision.fleet.FleetLimits
import org.buckthornwheel.decision.fleet.TargetFleet
import org.buckthornwheel.decision.fleet.TargetLoad
import org.buckthornwheel.decision.routing.PredictiveRouter
import org.buckthornwheel.decision.routing.RemoteZoneStates
import org.buckthornwheel.decision.routing.RouteRequest
import org.buckthornwheel.decision.routing.Router
import org.buckthornwheel.decision.routing.WorkName
import org.buckthornwheel.decision.routing.ZoneLoad
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Inputs of the routing benchmarks: the production router, a fleet with load reports, and a request. */
internal object SampleRouting {
    private const val HOSTS_PER_ZONE = 19
    private val WORK = WorkName("model-0")
    private const val SEED = 11
    private const val MAXIMUM_RUNNING = 8
    private const val MAXIMUM_WAITING = 4

    fun fleet(targets: List<TargetItem>): TargetFleet {
        val random = Random(SEED)
        val fleet = TargetFleet(FleetLimits(failuresToEject = 5, ejectionTime = 5.seconds))
        targets.forEach {
            val load = TargetLoad(random.nextInt(MAXIMUM_RUNNING), random.nextInt(MAXIMUM_WAITING), leaving = false)
            fleet.report(it.name, load, SamplePeers.now)
        }
        return fleet
    }

    fun router(zone: ZoneName, fleet: TargetFleet): Router = PredictiveRouter(zone, fleet, LoadedZones, hosts = {
        HOSTS_PER_ZONE
    })

    fun request(candidates: List<TargetItem>): RouteRequest =
        RouteRequest(candidates, permittedRegions = null, mayForward = true, work = WORK, prefixHash = 1)

    /** All remote zones are reachable and as loaded as the local one, so that the router compares every one of them. */
    private object LoadedZones : RemoteZoneStates {
        private val load = ZoneLoad(usableTargets = 48, capacity = 384, running = 300, waiting = 100, age = 1.seconds)
        private val roundTrip = 110.milliseconds

        override fun load(zone: ZoneName, work: WorkName): ZoneLoad = load

        override fun roundTrip(zone: ZoneName): Duration = roundTrip

        override fun isReachable(zone: ZoneName): Boolean = true
    }
}
