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

class ZoneOverflowTest {
    private val now = START + 10.seconds

    /** With a capacity of 8 and one second per request, [waiting] queued requests delay a new one by an eighth each. */
    private fun Estate.fleetWaiting(waiting: Int): TargetFleet = fleet().also { fleet ->
        index.targetsIn(HOME).forEach { fleet.report(it.name, TargetLoad(running = 7, waiting, false), now) }
    }

    private fun Router.forwarded(estate: Estate, bytes: Int = 1_000): Int = (1..1_000).count {
        route(estate, estate.request(seed = it.toLong(), bytes = bytes), now) is RouteDecision.Forward
    }

    private fun router(fleet: TargetFleet, zoneStates: RemoteZoneStates = FixedZoneStates()) =
        PredictiveRouter(HOME, fleet, zoneStates) { 1 }

    @Nested
    inner class `given a queue in the local zone` {
        private val estate = estateOf(regions = 2, targetsPerRegion = 2, PolicyItem(homeBiasMilliseconds = 300))

        @Test
        fun `requests stay while the round trip and the bias exceed the gain`() {
            expectThat(router(estate.fleetWaiting(3)).forwarded(estate)).isEqualTo(0)
        }

        @Test
        fun `the share of requests that overflow grows with the gain`() {
            val small = router(estate.fleetWaiting(4)).forwarded(estate)
            val large = router(estate.fleetWaiting(30)).forwarded(estate)
            expectThat(small).isGreaterThan(0).isLessThan(520)
            expectThat(large).isGreaterThan(800)
        }

        @Test
        fun `once requests overflow, a gain too small to start the overflow is enough to continue it`() {
            val fleet = estate.fleetWaiting(30)
            val router = router(fleet)
            router.forwarded(estate)
            estate.index.targetsIn(HOME).forEach { fleet.report(it.name, TargetLoad(7, 3, false), now) }
            expectThat(router.forwarded(estate)).isGreaterThan(0)
        }

        @Test
        fun `requests stay if the other zone has the same load`() {
            expectThat(router(estate.fleetWaiting(30), FixedZoneStates { 150 }).forwarded(estate)).isEqualTo(0)
        }

        @Test
        fun `a request that was already forwarded once is not forwarded again`() {
            val decision = router(estate.fleetWaiting(100)).route(estate, estate.request(mayForward = false), now)
            expectThat(decision).isA<RouteDecision.Local>()
        }
    }

    @Nested
    inner class `given a link with a small byte budget` {
        private val estate = estateOf(regions = 2, targetsPerRegion = 2, PolicyItem(100, linkBytesPerSecond = 10_000))

        @Test
        fun `only requests within the budget are forwarded`() {
            val fleet = estate.fleetWaiting(100)
            expectThat(
                router(fleet, FixedZoneStates(110.milliseconds)).forwarded(estate, bytes = 1_000),
            ).isEqualTo(10)
        }
    }
}
