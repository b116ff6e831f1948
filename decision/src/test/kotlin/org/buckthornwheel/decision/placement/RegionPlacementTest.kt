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
        fun `it is spared while the own one has room`() {
            add("a")
            add("z", SOUTH)
            occupy("a", 3)
            expectThat(choose(request()).replica()).isEqualTo("a")
        }

        @Test
        fun `it takes what the own one has no place for`() {
            add("a")
            add("z", SOUTH)
            occupy("a", 6)
            expectThat(choose(request())).isA<PlacementDecision.Forward>().get { region }.isEqualTo(SOUTH)
        }

        @Test
        fun `it gets nothing that came from elsewhere, and nothing while no host there answers`() {
            add("z", SOUTH)
            expectThat(choose(request(mayForward = false))).isEqualTo(PlacementDecision.NoReplica)
            expectThat(choose(request(), reachable = emptySet())).isEqualTo(PlacementDecision.NoReplica)
        }

        @Test
        fun `a home is kept even if the own region is idle`() {
            add("a")
            add("z", SOUTH)
            expectThat(choose(request(homes = setOf(SOUTH)))).isA<PlacementDecision.Forward>()
        }
    }

    @Nested
    inner class `given a full engine and an idle one in another region` {
        @Test
        fun `a less urgent request goes where more urgent ones do not displace it`() {
            add("a")
            add("z", SOUTH)
            serve("a", took = 40.milliseconds, ahead = 0)
            occupy("a", 4)
            expectThat(choose(request())).isA<PlacementDecision.Forward>()
            expectThat(choose(request(isUrgent = true)).replica()).isEqualTo("a")
        }

        @Test
        fun `it stays near while a slot is free`() {
            add("a")
            add("z", SOUTH)
            occupy("a", 3)
            expectThat(choose(request()).replica()).isEqualTo("a")
        }

        @Test
        fun `plain services displace nothing`() {
            add("a", tokenCapacity = 0)
            add("z", SOUTH, tokenCapacity = 0)
            serve("a", took = 40.milliseconds, ahead = 0)
            occupy("a", 4)
            expectThat(choose(request()).replica()).isEqualTo("a")
        }
    }

    @Nested
    inner class `given a second zone in the region` {
        @Test
        fun `requests stay in the own zone while its replicas have slots`() {
            add("a")
            add("b", zone = "b")
            occupy("a", 3)
            expectThat(choose(request()).replica()).isEqualTo("a")
            occupy("a", 6)
            expectThat(choose(request()).replica()).isEqualTo("b")
        }
    }
}
