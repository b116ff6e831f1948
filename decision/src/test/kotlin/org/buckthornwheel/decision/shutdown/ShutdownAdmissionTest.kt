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

    private val dossier =
        ShutdownRequest(targetLatency = 800.milliseconds, outputTokens = 480, remaining = 8.seconds)
    private val read = ShutdownRequest(targetLatency = 500.milliseconds, outputTokens = 0, remaining = 8.seconds)

    @Test
    fun `a long request is taken while the directory's answers name the host`() {
        expectThat(admission.admits(dossier, begin + 2.seconds)).isTrue()
    }

    @Test
    fun `a long request that arrives later is rejected, as the host may end before it`() {
        expectThat(admission.admits(dossier, begin + 4.4.seconds)).isFalse()
    }

    @Test
    fun `a short request is taken as long as it ends before the host`() {
        expectThat(admission.admits(read, begin + 4.4.seconds)).isTrue()
        expectThat(admission.admits(read, begin + 6.5.seconds)).isFalse()
    }

    @Test
    fun `a request whose time runs out before the host's end is taken`() {
        val brief = dossier.copy(remaining = 300.milliseconds)
        expectThat(admission.admits(brief, begin + 7.seconds)).isTrue()
    }
}
