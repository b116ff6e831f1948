package org.buckthornwheel.decision.attempt

import org.buckthornwheel.api.MonotonicInstant
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class IdleTimeoutEstimateTest {
    private val start = MonotonicInstant(0)
    private val estimate = IdleTimeoutEstimate()

    /** Records losses after these idle times, in milliseconds, with a second between any two. */
    private fun lose(vararg milliseconds: Int): List<Boolean> =
        milliseconds.mapIndexed { index, idle -> estimate.recordLoss(idle.milliseconds, start + index.seconds) }

    @Test
    fun `two losses after the same idle time are no timeout`() {
        expectThat(lose(200, 200)).isEqualTo(listOf(false, false))
    }

    @Test
    fun `the third loss after about the same idle time is one`() {
        expectThat(lose(200, 190, 210).last()).isTrue()
    }

    @Test
    fun `a loss after another idle time is no timeout, and the next ones are judged anew`() {
        val losses = lose(200, 200, 200, 20, 20)
        expectThat(losses).isEqualTo(listOf(false, false, true, false, false))
    }

    @Test
    fun `connections that are lost together count as one loss`() {
        repeat(3) { expectThat(estimate.recordLoss(200.milliseconds, start)).isFalse() }
        expectThat(estimate.recordLoss(200.milliseconds, start + 1.seconds)).isFalse()
    }

    @Test
    fun `an estimate is outdated a minute after the last loss`() {
        lose(200)
        expectThat(estimate.isOutdated(start + 59.seconds)).isFalse()
        expectThat(estimate.isOutdated(start + 61.seconds)).isTrue()
    }
}
