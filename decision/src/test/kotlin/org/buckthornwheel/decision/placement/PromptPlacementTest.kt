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
    inner class `given a prompt that a replica has cached` {
        private val parts = listOf(PromptPart("shared", 20_000), PromptPart("own", 10))

        private fun cacheAt(id: String) = replicas.find(ReplicaId(id))!!.recordPrefill(parts.dropLast(1))

        @Test
        fun `it is fetched from the cache holder rather than prefilled again when that replica is full`() {
            add("a")
            add("b")
            cacheAt("a")
            occupy("a", 4)
            expectThat(choose(request(parts))).isA<PlacementDecision.Local>().and {
                get { replica.id.value }.isEqualTo("b")
                get { fetchFrom?.id?.value }.isEqualTo("a")
                get { missingTokens }.isEqualTo(10)
            }
        }

        @Test
        fun `a cache holder with free slots is preferred to an idle replica that would fetch the prompt`() {
            add("a")
            add("b")
            cacheAt("a")
            occupy("a", 3)
            expectThat(choose(request(parts)).chosenReplica()).isEqualTo("a")
        }

        @Test
        fun `a cache holder in another zone is preferred to fetching the prompt from there`() {
            add("a")
            add("b", zone = "b")
            cacheAt("b")
            expectThat(choose(request(parts)).chosenReplica()).isEqualTo("b")
        }

        @Test
        fun `it is not fetched from a region that may not serve the request`() {
            add("a")
            add("z", SOUTH)
            cacheAt("z")
            expectThat(choose(request(parts, homes = setOf(NORTH)))).isA<PlacementDecision.Local>()
                .get { fetchFrom }.isEqualTo(null)
        }

        @Test
        fun `the cache holder itself fetches nothing`() {
            add("a")
            add("b")
            cacheAt("a")
            expectThat(choose(request(parts))).isA<PlacementDecision.Local>().and {
                get { replica.id.value }.isEqualTo("a")
                get { fetchFrom }.isEqualTo(null)
            }
        }
    }
}
