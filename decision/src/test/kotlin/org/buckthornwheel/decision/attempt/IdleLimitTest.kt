package org.buckthornwheel.decision.attempt

import org.buckthornwheel.api.MonotonicInstant
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class IdleLimitTest {
    private val begin = MonotonicInstant(0)
    private val limit = IdleLimit(usual = 7.5.seconds)

    @Test
    fun `without a loss the usual limit holds`() {
        expectThat(limit.at(begin)).isEqualTo(7.5.seconds)
    }

    @Test
    fun `after a loss only connections that were idle for much less are used`() {
        limit.recordLoss(idle = 500.milliseconds, begin)
        expectThat(limit.at(begin + 1.seconds)).isLessThan(300.milliseconds)
    }

    @Test
    fun `a loss after a longer time does not lengthen the limit`() {
        limit.recordLoss(idle = 500.milliseconds, begin)
        limit.recordLoss(idle = 5.seconds, begin + 1.seconds)
        expectThat(limit.at(begin + 2.seconds)).isLessThan(300.milliseconds)
    }

    @Test
    fun `a connection that was hardly idle broke off for another reason`() {
        expectThat(limit.recordLoss(idle = 5.milliseconds, begin)).isEqualTo(false)
        expectThat(limit.at(begin)).isEqualTo(7.5.seconds)
    }

    @Test
    fun `a loss is forgotten after a while`() {
        limit.recordLoss(idle = 500.milliseconds, begin)
        expectThat(limit.at(begin + 61.seconds)).isEqualTo(7.5.seconds)
    }
}
