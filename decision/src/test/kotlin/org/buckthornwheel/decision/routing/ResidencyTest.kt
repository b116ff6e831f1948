package org.buckthornwheel.decision.routing

import org.buckthornwheel.api.RegionName
import org.buckthornwheel.decision.estate.Estate
import org.buckthornwheel.decision.fleet.TargetFleet
import org.buckthornwheel.decision.fleet.TargetLoad
import org.buckthornwheel.decision.routing.baseline.HomeFirstRouter
import org.buckthornwheel.decision.routing.baseline.HomeOnlyRouter
import org.buckthornwheel.decision.routing.baseline.LeastLoadedRouter
import org.buckthornwheel.decision.routing.baseline.RandomRouter
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isFalse
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

class ResidencyTest {
    private val now = START + 10.seconds

    @Nested
    inner class `given random residency rules, loads and targets that are shutting down` {
        @Test
        fun `no router sends a request outside the permitted regions`() {
            val random = Random(SEED)
            repeat(ROUNDS) {
                val estate = estateOf(regions = random.nextInt(1, 5), targetsPerRegion = random.nextInt(1, 4))
                val fleet = fleet().also { reportRandomLoads(it, estate, random) }
                val permitted = (0 until 5).filter { random.nextBoolean() }.map { RegionName("region-$it") }.toSet()
                val waits = random.nextInt(100)
                routers(fleet, FixedZoneStates { waits }).forEach { router ->
                    val request = estate.request(permitted, random.nextBoolean(), random.nextLong(3), random.nextLong())
                    expectPermitted(router.route(estate, request, now), permitted, request, estate)
                }
            }
        }
    }

    private fun expectPermitted(
        decision: RouteDecision,
        permitted: Set<RegionName>,
        request: RouteRequest,
        estate: Estate,
    ) {
        val zones = when (decision) {
            is RouteDecision.Local -> listOf(decision.target.zone)
            is RouteDecision.Forward -> decision.zones
            is RouteDecision.NoPermittedTarget -> emptyList()
        }
        zones.forEach { expectThat(permitted).contains(requireNotNull(estate.index.regionOf(it))) }
        if (!request.mayForward) expectThat(decision is RouteDecision.Forward).isFalse()
    }

    private fun routers(fleet: TargetFleet, zoneStates: RemoteZoneStates): List<Router> = listOf(
        PredictiveRouter(HOME, fleet, zoneStates) { 3 },
        HomeFirstRouter(HOME, fleet),
        HomeOnlyRouter(HOME, fleet),
        RandomRouter(HOME, fleet),
        LeastLoadedRouter(HOME, fleet, zoneStates),
    )

    private fun reportRandomLoads(fleet: TargetFleet, estate: Estate, random: Random) = estate.index.targets.forEach {
        val load = TargetLoad(random.nextInt(10), random.nextInt(60), leaving = random.nextInt(4) == 0)
        if (random.nextBoolean()) fleet.report(it.name, load, now)
    }

    private companion object {
        const val SEED = 20_261_204
        const val ROUNDS = 500
    }
}
