package org.buckthornwheel.decision.shutdown

import org.buckthornwheel.api.MonotonicInstant
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class ShutdownAdmissionTest {
    private val begin = MonotonicInstant(0)
    private val admission = ShutdownAdmission(directoryEnds = begin + 2.5.seconds, stopsAt = begin + 7.4.seconds)

    private val longRequest =
        ShutdownRequest(targetLatency = 800.milliseconds, outputTokens = 480, remaining = 8.seconds)
    private val shortRequest =
        ShutdownRequest(targetLatency = 500.milliseconds, outputTokens = 0, remaining = 8.seconds)

    @Test
    fun `a long request is admitted while the directory's answers name the host`() {
        expectThat(admission.admits(longRequest, begin + 2.seconds)).isTrue()
    }

    @Test
    fun `a long request that arrives later is rejected because it may outlast the host`() {
        expectThat(admission.admits(longRequest, begin + 4.4.seconds)).isFalse()
    }

    @Test
    fun `a short request is admitted as long as it ends before the host`() {
        expectThat(admission.admits(shortRequest, begin + 4.4.seconds)).isTrue()
        expectThat(admission.admits(shortRequest, begin + 6.5.seconds)).isFalse()
    }

    @Test
    fun `a request with a deadline before the end of the host is admitted`() {
        val requestNearDeadline = longRequest.copy(remaining = 300.milliseconds)
        expectThat(admission.admits(requestNearDeadline, begin + 7.seconds)).isTrue()
    }
}
