package org.buckthornwheel.decision.replica

import org.buckthornwheel.api.MonotonicInstant
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

internal class UnnamedRunTest {
    private val start = MonotonicInstant(0)
    private val coldness = ReplicaColdness(RUN)

    // A busy replica whose answers named no run got no resumable streams any more.
    @Test
    fun `a replica that did not say which run it is gets streams again once its registration must have arrived`() {
        coldness.recordSignOfEnd(RUN, start)
        coldness.recordRestart(RUN, answering = null, asOf = start, warmAt = start + 3.seconds)
        expectThat(coldness.isRunCertain(RUN, start + 2.seconds)).isFalse()
        expectThat(coldness.isRunCertain(RUN, start + 60.seconds)).isTrue()
    }

    @Test
    fun `a replica that named a later run gets no streams until that one is registered`() {
        coldness.recordSignOfEnd(RUN, start)
        coldness.recordRestart(RUN, answering = RUN + 1, asOf = start, warmAt = start + 3.seconds)
        expectThat(coldness.isRunCertain(RUN, start + 60.seconds)).isFalse()
    }

    private companion object {
        const val RUN = 1_000L
    }
}
