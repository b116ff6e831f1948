package org.buckthornwheel.decision.overload

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class RetryDelayTest {
    @Test
    fun `callers that are rejected together retry at different times`() {
        val early = RetryDelay.after(10.milliseconds, 600.milliseconds, 4.seconds, draw = 0.1)
        val late = RetryDelay.after(10.milliseconds, 600.milliseconds, 4.seconds, draw = 0.9)
        expectThat(late - early).isGreaterThan(200.milliseconds)
    }

    @Test
    fun `a caller is never asked to wait for more than a third of its remaining time`() {
        val delay = RetryDelay.after(5.seconds, 600.milliseconds, 900.milliseconds, draw = 1.0)
        expectThat(delay).isLessThanOrEqualTo(300.milliseconds)
    }
}
