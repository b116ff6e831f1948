package org.buckthornwheel.decision.attempt

import org.buckthornwheel.api.MonotonicInstant
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class IdleLimitTest {
    private val start = MonotonicInstant(0)
    private val limit = IdleLimit(default = 7.5.seconds)

    @Test
    fun `without a loss the default limit applies`() {
        expectThat(limit.at(start)).isEqualTo(7.5.seconds)
    }

    @Test
    fun `after a loss only connections that were idle for a much shorter time are used`() {
        limit.recordLoss(idle = 500.milliseconds, start)
        expectThat(limit.at(start + 1.seconds)).isLessThan(300.milliseconds)
    }

    @Test
    fun `a loss after a longer idle time does not raise the limit`() {
        limit.recordLoss(idle = 500.milliseconds, start)
        limit.recordLoss(idle = 5.seconds, start + 1.seconds)
        expectThat(limit.at(start + 2.seconds)).isLessThan(300.milliseconds)
    }

    @Test
    fun `the loss of a connection that was hardly idle has another cause`() {
        expectThat(limit.recordLoss(idle = 5.milliseconds, start)).isEqualTo(false)
        expectThat(limit.at(start)).isEqualTo(7.5.seconds)
    }

    @Test
    fun `a loss no longer counts after a minute`() {
        limit.recordLoss(idle = 500.milliseconds, start)
        expectThat(limit.at(start + 61.seconds)).isEqualTo(7.5.seconds)
    }
}
