package org.buckthornwheel.decision.replica

import org.buckthornwheel.api.MonotonicInstant
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.seconds

internal class ReplicaRequestLimitTest {
    private val limit = ReplicaRequestLimit()
    private val start = MonotonicInstant(0) + 1_000.seconds

    private fun at(second: Double): MonotonicInstant = start + second.seconds

    private fun respond(figure: Double?, sent: Double, received: Double) = limit.record(figure, at(sent), at(received))

    private fun inForce(second: Double): Double? = limit.current(at(second))

    @Nested
    inner class `given responses that overtake each other` {
        @Test
        fun `a lower figure applies at once`() {
            respond(3.5, sent = 1.0, received = 2.0)
            expectThat(respond(2.0, sent = 0.5, received = 2.1)).isEqualTo(LimitChange(3.5, 2.0))
        }

        @Test
        fun `a higher figure and none count only if sent after the present one was received`() {
            respond(3.5, sent = 1.0, received = 2.0)
            expectThat(respond(7.0, sent = 1.9, received = 3.0)).isNull()
            expectThat(respond(null, sent = 1.9, received = 3.0)).isNull()
            expectThat(inForce(3.0)).isEqualTo(3.5)
            expectThat(respond(7.0, sent = 2.1, received = 3.1)).isEqualTo(LimitChange(3.5, 7.0))
            expectThat(respond(null, sent = 3.2, received = 3.3)).isEqualTo(LimitChange(7.0, null))
            expectThat(inForce(4.0)).isNull()
        }
    }

    @Nested
    inner class `given a figure that another host told` {
        @Test
        fun `it applies until some seconds after it was last told`() {
            limit.recordTold(3.5, at(1.0), at(1.2))
            limit.recordTold(3.5, at(1.0), at(3.0))
            expectThat(inForce(6.9)).isEqualTo(3.5)
            expectThat(inForce(7.1)).isNull()
        }

        @Test
        fun `an older one does not undo that the replica stopped naming it`() {
            respond(3.5, sent = 1.0, received = 1.1)
            respond(null, sent = 2.0, received = 2.1)
            limit.recordTold(3.5, at(1.5), at(2.2))
            expectThat(inForce(2.3)).isNull()
            limit.recordTold(3.5, at(2.5), at(2.6))
            expectThat(inForce(2.7)).isEqualTo(3.5)
        }

        @Test
        fun `the newer evidence of two hosts counts`() {
            limit.recordTold(2.0, at(2.0), at(2.1))
            limit.recordTold(9.0, at(1.0), at(2.2))
            expectThat(inForce(2.3)).isEqualTo(2.0)
            limit.recordTold(9.0, at(2.2), at(2.3))
            expectThat(inForce(2.4)).isEqualTo(9.0)
        }
    }
}
