package org.buckthornwheel.decision.admission

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LoadSheddingTest {
    /** A host that handles 1,000 requests per second and refuses one at a tenth of the cost; callers wait 2 seconds. */
    private class ModelHost {
        private val shedding = LoadShedding(acceptable = 200.milliseconds)
        private val queue = ArrayDeque<Int>()
        private var seed = 0L

        /** Requests answered in time in the second half of [ticks] of 50 ms, when [offered] arrive in each tick. */
        fun goodput(offered: Int, ticks: Int): Int {
            var inTime = 0
            for (tick in 0 until ticks) {
                repeat(offered) { queue.addLast(tick) }
                var remaining = 50.0
                while (remaining > 0 && queue.isNotEmpty()) {
                    val arrived = queue.removeFirst()
                    val refused = shedding.refuses(seed++)
                    remaining -= if (refused) 0.1 else 1.0
                    if (!refused && tick - arrived < 40 && tick >= ticks / 2) inTime += 1
                }
                shedding.observe((50.milliseconds * (tick - (queue.firstOrNull() ?: tick))))
            }
            return inTime
        }
    }

    @Nested
    inner class `given more requests than the host can handle` {
        @Test
        fun `as many are answered in time as without the excess requests, less the cost of the refusals`() {
            val ticks = 400
            val capacity = 50 * ticks / 2
            listOf(75, 100, 150, 200).forEach { offered ->
                expectThat(ModelHost().goodput(offered, ticks)).isGreaterThan(capacity / 2)
            }
        }
    }

    @Nested
    inner class `given a process that paused once` {
        @Test
        fun `nothing is refused`() {
            val shedding = LoadShedding(acceptable = 200.milliseconds)
            repeat(10) { shedding.observe(1.milliseconds) }
            shedding.observe(5.seconds)
            expectThat(shedding.refusedShare).isEqualTo(0.0)
            expectThat((1L..100L).any(shedding::refuses)).isFalse()
        }
    }
}
