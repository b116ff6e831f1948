package org.buckthornwheel.decision.orders

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.TargetName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.api.estate.TargetItem
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class OrderLeaseTest {
    private val limits = OrderLimits(leaseTime = 10.seconds, maximumOrderDuration = 2.seconds)
    private val start = MonotonicInstant(0)

    private fun target(checks: Boolean) =
        TargetItem(TargetName("a"), ZoneName("zone"), NetworkAddress("127.0.0.1", 1), checksFencing = checks)

    @Nested
    inner class `given a newly acquired lease` {
        private val lease = OrderLease(limits).apply { acquired(FencingNumber(7), start, start + 1.seconds) }

        @Test
        fun `a target that checks the fencing number gets orders at once`() {
            expectThat(lease.permission(target(checks = true), start + 1.seconds))
                .isEqualTo(OrderPermission.Granted(FencingNumber(7)))
        }

        @Test
        fun `a target without a fencing check gets orders only after the former holder's last order`() {
            lease.renewed(start + 9.seconds)
            expectThat(lease.permission(target(checks = false), start + 12.seconds)).isA<OrderPermission.FormerHolder>()
            expectThat(lease.permission(target(checks = false), start + 13.seconds)).isA<OrderPermission.Granted>()
        }

        @Test
        fun `no order is permitted that could outlast the lease`() {
            expectThat(lease.permission(target(checks = true), start + 8.seconds)).isA<OrderPermission.Granted>()
            expectThat(lease.permission(target(checks = true), start + 8.seconds + 1.milliseconds))
                .isA<OrderPermission.NoLease>()
        }
    }

    @Nested
    inner class `given hosts that are paused and replaced at random` {
        @Test
        fun `a target without a fencing check never gets a former holder's order after a newer one`() {
            repeat(2_000) { seed -> expectOrderedArrivals(seed) }
        }

        private fun expectOrderedArrivals(seed: Int) {
            val arrivals = LeaseSchedule(limits, target(checks = false), Random(seed)).run()
            arrivals.zipWithNext { earlier, later ->
                expectThat(earlier.fencing.value).describedAs("seed $seed").isLessThanOrEqualTo(later.fencing.value)
            }
        }
    }
}
