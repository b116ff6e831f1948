package org.buckthornwheel.decision.routing

import org.buckthornwheel.api.TargetName
import org.buckthornwheel.decision.estate.Estate
import org.buckthornwheel.decision.fleet.TargetAttemptResult
import org.buckthornwheel.decision.fleet.TargetFleet
import org.buckthornwheel.decision.fleet.TargetLoad
import org.buckthornwheel.decision.fleet.TargetRecord
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PredictiveRouterTest {
    private val reportedAt = START + 100.seconds
    private val now = reportedAt + 500.milliseconds

    private fun Estate.report(fleet: TargetFleet, load: (TargetName) -> Int) = index.targetsIn(HOME).forEach {
        fleet.report(it.name, TargetLoad(running = load(it.name), waiting = 0, leaving = false), reportedAt)
    }

    private fun router(fleet: TargetFleet, hosts: Int = 1) = PredictiveRouter(HOME, fleet, FixedZoneStates()) { hosts }

    private fun Router.counts(estate: Estate, requests: Int): Map<TargetName, Int> =
        (1..requests).map { route(estate, estate.request(seed = it.toLong()), now).target() }
            .groupingBy { it }.eachCount()

    @Nested
    inner class `given one idle target and many hosts that share a stale view` {
        private val estate = estateOf(regions = 1, targetsPerRegion = 10)

        @Test
        fun `the idle target is not overloaded by all hosts at once`() {
            val hosts = 20
            val toIdle = (1..hosts).sumOf { host ->
                val fleet = fleet()
                estate.report(fleet) { if (it == target(0, 0)) 0 else 6 }
                val router = router(fleet, hosts)
                (1..5).count { number ->
                    val chosen = router.route(estate, estate.request(seed = host * 1_000L + number), now).target()
                    fleet.recordStart(chosen)
                    chosen == target(0, 0)
                }
            }
            expectThat(toIdle).isGreaterThan(0).isLessThan(35)
        }
    }

    @Nested
    inner class `given a load report that is five seconds old` {
        private val estate = estateOf(regions = 1, targetsPerRegion = 4)

        @Test
        fun `requests that this host sent since the report count as load`() {
            val fleet = fleet()
            estate.index.targetsIn(HOME).forEach {
                val running = if (it.name == target(0, 0)) 0 else 4
                fleet.report(it.name, TargetLoad(running, waiting = 0, leaving = false), reportedAt)
            }
            val router = router(fleet)
            val later = reportedAt + 5.seconds
            repeat(40) { fleet.recordStart(router.route(estate, estate.request(seed = it.toLong()), later).target()) }
            val loads = estate.index.targetsIn(HOME).map { target ->
                val sent = fleet.state(target.name, later).ownInFlight
                sent + if (target.name == target(0, 0)) 0 else 4
            }
            expectThat(loads.max() - loads.min()).isLessThan(5)
        }
    }

    @Nested
    inner class `given requests with a common prompt prefix` {
        private val estate = estateOf(regions = 1, targetsPerRegion = 10)

        @Test
        fun `hosts choose the same target without communication`() {
            val one = router(fleet().also { estate.report(it) { 1 } })
            val other = router(fleet().also { estate.report(it) { 1 } })
            for (prefix in 1L..50L) {
                val first = one.route(estate, estate.request(prefixHash = prefix, seed = 1), now)
                val second = other.route(estate, estate.request(prefixHash = prefix, seed = 2), now)
                expectThat(first).isEqualTo(second)
            }
        }

        @Test
        fun `requests with a popular prefix use more targets once the load of the first exceeds the limit`() {
            val fleet = fleet().also { estate.report(it) { 1 } }
            val router = router(fleet)
            val used = (1..30).map {
                router.route(estate, estate.request(prefixHash = 7, seed = it.toLong()), now).target()
                    .also(fleet::recordStart)
            }
            expectThat(used.distinct().size).isGreaterThan(3)
        }
    }

    @Nested
    inner class `given targets that fail` {
        private val estate = estateOf(regions = 1, targetsPerRegion = 10)

        private fun fleetWithEjected(number: Int) = fleet().also { fleet ->
            estate.report(fleet) { 1 }
            repeat(number) { at -> repeat(3) { fleet.end(target(0, at), TargetAttemptResult.FAILED) } }
        }

        private fun TargetFleet.end(target: TargetName, end: TargetAttemptResult) {
            recordStart(target)
            recordEnd(target, end, 100.milliseconds, now)
        }

        @Test
        fun `a few failing targets are ejected and get no requests`() {
            val counts = router(fleetWithEjected(3)).counts(estate, 200)
            expectThat(counts.keys).hasSize(7)
        }

        @Test
        fun `if most targets have failed, all are used, so that the remaining ones are not overloaded`() {
            val counts = router(fleetWithEjected(7)).counts(estate, 200)
            expectThat(counts.keys).hasSize(10)
        }

        @Test
        fun `a target that refused a connection gets nothing until its next report, and then a growing share`() {
            val fleet = fleetWithEjected(0)
            val refusing = target(0, 0)
            fleet.end(refusing, TargetAttemptResult.REFUSED)
            expectThat(router(fleet).counts(estate, 200)[refusing]).isNull()
            fleet.report(refusing, TargetLoad(running = 0, waiting = 0, leaving = false), now)
            val cold = router(fleet).counts(estate, 500)[refusing] ?: 0
            fleet.report(refusing, TargetLoad(running = 0, waiting = 0, leaving = false), now + TargetRecord.SLOW_START)
            val warm = (1..500).count {
                val request = estate.request(seed = it.toLong())
                router(fleet).route(estate, request, now + TargetRecord.SLOW_START).target() == refusing
            }
            expectThat(cold).isLessThan(warm / 3)
        }
    }

    @Nested
    inner class `given a target that is shutting down` {
        private val estate = estateOf(regions = 2, targetsPerRegion = 2)

        @Test
        fun `it gets no requests after its first report that says so, even if it is the last usable target`() {
            val fleet = fleet()
            val router = router(fleet)
            fleet.report(target(0, 0), TargetLoad(0, 0, leaving = true), now)
            expectThat(router.counts(estate, 100).keys).isEqualTo(setOf(target(0, 1)))
            fleet.report(target(0, 1), TargetLoad(0, 0, leaving = true), now)
            val decision = router.route(estate, estate.request(), now)
            expectThat(decision).isEqualTo(RouteDecision.Forward(listOf(zone(1))))
            expectThat(router.route(estate, estate.request(mayForward = false), now))
                .isNotEqualTo(decision).isEqualTo(RouteDecision.NoPermittedTarget)
        }
    }
}
