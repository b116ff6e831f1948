package org.buckthornwheel.decision.routing

import org.buckthornwheel.api.estate.PolicyItem
import org.buckthornwheel.decision.estate.Estate
import org.buckthornwheel.decision.fleet.TargetFleet
import org.buckthornwheel.decision.fleet.TargetLoad
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LeavingHomeTest {
    private val now = START + 10.seconds

    /** Capacity is 8 and a request takes a second: [waiting] others mean a wait of so many eighths of a second. */
    private fun Estate.fleetWaiting(waiting: Int): TargetFleet = fleet().also { fleet ->
        index.targetsIn(HOME).forEach { fleet.report(it.name, TargetLoad(running = 7, waiting, false), now) }
    }

    private fun Router.sharedAway(estate: Estate, bytes: Int = 1_000): Int = (1..1_000).count {
        route(estate, estate.request(seed = it.toLong(), bytes = bytes), now) is RouteDecision.Forward
    }

    private fun router(fleet: TargetFleet, zoneStates: RemoteZoneStates = FixedZoneStates()) =
        PredictiveRouter(HOME, fleet, zoneStates) { 1 }

    @Nested
    inner class `given a wait at home` {
        private val estate = estateOf(regions = 2, targetsPerRegion = 2, PolicyItem(homeBiasMilliseconds = 300))

        @Test
        fun `requests stay while the way and the bias cost more than is gained`() {
            expectThat(router(estate.fleetWaiting(3)).sharedAway(estate)).isEqualTo(0)
        }

        @Test
        fun `a share of them leaves that grows with the gain`() {
            val small = router(estate.fleetWaiting(4)).sharedAway(estate)
            val large = router(estate.fleetWaiting(30)).sharedAway(estate)
            expectThat(small).isGreaterThan(0).isLessThan(520)
            expectThat(large).isGreaterThan(800)
        }

        @Test
        fun `a gain too small to begin with keeps them going once they leave`() {
            val fleet = estate.fleetWaiting(30)
            val router = router(fleet)
            router.sharedAway(estate)
            estate.index.targetsIn(HOME).forEach { fleet.report(it.name, TargetLoad(7, 3, false), now) }
            expectThat(router.sharedAway(estate)).isGreaterThan(0)
        }

        @Test
        fun `they stay when the other zone is just as loaded`() {
            expectThat(router(estate.fleetWaiting(30), FixedZoneStates { 150 }).sharedAway(estate)).isEqualTo(0)
        }

        @Test
        fun `a request that has crossed zones once does not leave again`() {
            val decision = router(estate.fleetWaiting(100)).route(estate, estate.request(mayForward = false), now)
            expectThat(decision).isA<RouteDecision.Local>()
        }
    }

    @Nested
    inner class `given a link with little left of its byte budget` {
        private val estate = estateOf(regions = 2, targetsPerRegion = 2, PolicyItem(100, linkBytesPerSecond = 10_000))

        @Test
        fun `only what fits the budget leaves`() {
            val fleet = estate.fleetWaiting(100)
            expectThat(router(fleet, FixedZoneStates(110.milliseconds)).sharedAway(estate, bytes = 1_000)).isEqualTo(10)
        }
    }
}
