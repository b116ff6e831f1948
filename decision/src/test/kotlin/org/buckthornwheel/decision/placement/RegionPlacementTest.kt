package org.buckthornwheel.decision.placement

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds

internal class RegionPlacementTest : PlacementSetup() {
    @Nested
    inner class `given another region` {
        @Test
        fun `it is not used while the local region has capacity`() {
            add("a")
            add("z", SOUTH)
            occupy("a", 3)
            expectThat(choose(request()).chosenReplica()).isEqualTo("a")
        }

        @Test
        fun `it gets the requests for which the local region has no capacity`() {
            add("a")
            add("z", SOUTH)
            occupy("a", 6)
            expectThat(choose(request())).isA<PlacementDecision.Forward>().get { region }.isEqualTo(SOUTH)
        }

        @Test
        fun `it gets no request that was already forwarded, and none while no host there responds`() {
            add("z", SOUTH)
            expectThat(choose(request(mayForward = false))).isEqualTo(PlacementDecision.NoReplica)
            expectThat(choose(request(), reachable = emptySet())).isEqualTo(PlacementDecision.NoReplica)
        }

        @Test
        fun `a request stays in its home region even if the local region is idle`() {
            add("a")
            add("z", SOUTH)
            expectThat(choose(request(homes = setOf(SOUTH)))).isA<PlacementDecision.Forward>()
        }
    }

    @Nested
    inner class `given a full engine and an idle one in another region` {
        @Test
        fun `a less urgent request goes where more urgent ones do not preempt it`() {
            add("a")
            add("z", SOUTH)
            serve("a", duration = 40.milliseconds, ahead = 0)
            occupy("a", 4)
            expectThat(choose(request())).isA<PlacementDecision.Forward>()
            expectThat(choose(request(isUrgent = true)).chosenReplica()).isEqualTo("a")
        }

        @Test
        fun `a less urgent request stays in the local region while a slot is free`() {
            add("a")
            add("z", SOUTH)
            occupy("a", 3)
            expectThat(choose(request()).chosenReplica()).isEqualTo("a")
        }

        @Test
        fun `requests of a plain service are not preempted and stay in the local region`() {
            add("a", tokenCapacity = 0)
            add("z", SOUTH, tokenCapacity = 0)
            serve("a", duration = 40.milliseconds, ahead = 0)
            occupy("a", 4)
            expectThat(choose(request()).chosenReplica()).isEqualTo("a")
        }
    }

    @Nested
    inner class `given a second zone in the region` {
        @Test
        fun `requests stay in the local zone while its replicas have capacity`() {
            add("a")
            add("b", zone = "b")
            occupy("a", 3)
            expectThat(choose(request()).chosenReplica()).isEqualTo("a")
            occupy("a", 6)
            expectThat(choose(request()).chosenReplica()).isEqualTo("b")
        }
    }
}
