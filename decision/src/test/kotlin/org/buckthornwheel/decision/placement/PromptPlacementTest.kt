package org.buckthornwheel.decision.placement

import org.buckthornwheel.decision.replica.PromptPart
import org.buckthornwheel.decision.replica.ReplicaId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

internal class PromptPlacementTest : PlacementSetup() {
    @Nested
    inner class `given a prompt that another replica keeps` {
        private val parts = listOf(PromptPart("shared", 20_000), PromptPart("own", 10))

        private fun keep(id: String) = replicas.find(ReplicaId(id))!!.recordPrefill(parts.dropLast(1))

        @Test
        fun `it is fetched from there rather than read again when that one is full`() {
            add("a")
            add("b")
            keep("a")
            occupy("a", 4)
            expectThat(choose(request(parts))).isA<PlacementDecision.Local>().and {
                get { replica.id.value }.isEqualTo("b")
                get { fetchFrom?.id?.value }.isEqualTo("a")
                get { missingTokens }.isEqualTo(10)
            }
        }

        @Test
        fun `a replica that keeps it and has free slots is preferred to an idle one that would fetch it`() {
            add("a")
            add("b")
            keep("a")
            occupy("a", 3)
            expectThat(choose(request(parts)).replica()).isEqualTo("a")
        }

        @Test
        fun `it is rather used in another zone than moved from there`() {
            add("a")
            add("b", zone = "b")
            keep("b")
            expectThat(choose(request(parts)).replica()).isEqualTo("b")
        }

        @Test
        fun `it does not leave the regions that may keep it`() {
            add("a")
            add("z", SOUTH)
            keep("z")
            expectThat(choose(request(parts, homes = setOf(NORTH)))).isA<PlacementDecision.Local>()
                .get { fetchFrom }.isEqualTo(null)
        }

        @Test
        fun `the replica that keeps it itself fetches nothing`() {
            add("a")
            add("b")
            keep("a")
            expectThat(choose(request(parts))).isA<PlacementDecision.Local>().and {
                get { replica.id.value }.isEqualTo("a")
                get { fetchFrom }.isEqualTo(null)
            }
        }
    }
}
