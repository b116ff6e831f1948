package org.buckthornwheel.decision.attempt

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ServiceName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class HedgePolicyTest {
    private val service = ServiceName("engines")
    private val begin = MonotonicInstant(0)
    private val predicted = 100.milliseconds

    private fun policy(share: Double) = HedgePolicy(HedgeLimit(share, window = 10.seconds))

    private fun HedgePolicy.learn(ratios: List<Double>) =
        ratios.forEach { recordStart(service, predicted, predicted * it) }

    @Nested
    inner class `given no share of extra work` {
        @Test
        fun `no attempt ever counts as late`() {
            val policy = policy(share = 0.0)
            policy.learn(List(1_000) { 1.0 })
            expectThat(policy.delay(service, predicted)).isNull()
        }
    }

    @Nested
    inner class `given mostly punctual responses` {
        @Test
        fun `only as many are late as the share permits`() {
            val random = Random(seed = 7)
            val policy = policy(share = 0.02)
            val ratios = List(512) { if (random.nextDouble() < 0.01) 20.0 else 0.8 + 0.4 * random.nextDouble() }
            policy.learn(ratios)
            val delay = expectThat(policy.delay(service, predicted)).isNotNull().subject
            expectThat(ratios.count { predicted * it > delay }).isLessThanOrEqualTo((512 * 0.02).toInt() + 1)
            expectThat(delay).isLessThan(predicted * 2)
        }

        @Test
        fun `an attempt is not late before its predicted time`() {
            val policy = policy(share = 0.05)
            policy.learn(List(512) { 0.2 })
            expectThat(policy.delay(service, predicted)).isEqualTo(predicted)
        }
    }

    @Nested
    inner class `given all attempts late` {
        @Test
        fun `the attempts of many hosts stay within the share in each window`() {
            val random = Random(seed = 11)
            val share = 0.05
            val hosts = List(12) { policy(share) }
            val requests = ArrayList<MonotonicInstant>()
            val hedges = ArrayList<MonotonicInstant>()
            var now = begin
            repeat(20_000) {
                now += random.nextInt(4).milliseconds
                val host = hosts[random.nextInt(hosts.size)]
                host.recordRequest(service, now)
                requests += now
                if (host.tryHedge(service, hasFreePlace = true, now) == HedgeVerdict.PERMITTED) hedges += now
            }
            hedges.filterIndexed { index, _ -> index % 50 == 0 }.forEach { end ->
                expectThat(countBefore(hedges, end)).isLessThanOrEqualTo((share * countBefore(requests, end)).toInt())
            }
            expectThat(hedges.size).isGreaterThan((requests.size * share * 0.9).toInt())
        }

        private fun countBefore(times: List<MonotonicInstant>, end: MonotonicInstant): Int =
            times.count { it <= end && end - it <= 10.seconds }
    }

    @Nested
    inner class `given a service without a free place` {
        @Test
        fun `no attempt is hedged, and none is counted`() {
            val policy = policy(share = 0.5)
            repeat(4) { policy.recordRequest(service, begin) }
            repeat(10) {
                expectThat(policy.tryHedge(service, hasFreePlace = false, begin)).isEqualTo(HedgeVerdict.NO_FREE_PLACE)
            }
            expectThat(policy.tryHedge(service, hasFreePlace = true, begin)).isEqualTo(HedgeVerdict.PERMITTED)
        }
    }

    @Nested
    inner class `given hedged attempts that never respond first` {
        private val policy = policy(share = 1.0).also { policy ->
            repeat(100) { policy.recordRequest(service, begin) }
            repeat(20) { policy.recordEnd(service, won = false, begin) }
        }

        @Test
        fun `hedging pauses for a window`() {
            expectThat(policy.tryHedge(service, hasFreePlace = true, begin)).isEqualTo(HedgeVerdict.NO_GAIN)
        }

        @Test
        fun `it is tried again after the window`() {
            val later = begin + 10.seconds
            repeat(2) { policy.recordRequest(service, later) }
            expectThat(policy.tryHedge(service, hasFreePlace = true, later)).isEqualTo(HedgeVerdict.PERMITTED)
        }
    }

    @Nested
    inner class `given a few responses that take many times as long` {
        private val random = Random(seed = 23)

        private fun responseTime(): Duration =
            if (random.nextDouble() < 0.01) 3.seconds else predicted * (0.8 + 0.4 * random.nextDouble())

        /** The 995th of 1,000 of [count] response times, with hedged attempts that see the same delays. */
        private fun slowest(count: Int, share: Double): Duration {
            val policy = policy(share)
            var now = begin
            val times = List(count) {
                now += 5.milliseconds
                policy.recordRequest(service, now)
                val first = responseTime()
                val delay = policy.delay(service, predicted)
                val isHedged = delay != null && first > delay &&
                    policy.tryHedge(service, hasFreePlace = true, now) == HedgeVerdict.PERMITTED
                policy.recordStart(service, predicted, first)
                if (!isHedged) return@List first
                val second = delay + responseTime()
                policy.recordEnd(service, won = second < first, now)
                minOf(first, second)
            }
            return times.sorted()[count * 995 / 1_000]
        }

        @Test
        fun `the slowest responses are cut from seconds to a small multiple of the usual time`() {
            expectThat(slowest(count = 5_000, share = 0.0)).isEqualTo(3.seconds)
            expectThat(slowest(count = 5_000, share = 0.02)).isLessThan(predicted * 4)
        }
    }
}
