package org.buckthornwheel.decision.placement

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.replica.PromptPart
import org.buckthornwheel.decision.replica.ReplicaAttemptResult
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.decision.replica.ReplicaLoad
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class PlacementTest : PlacementSetup() {
    @Nested
    inner class `given replicas of the own region` {
        @Test
        fun `the one with fewer requests in flight is chosen`() {
            add("a")
            add("b")
            occupy("a", 3)
            expectThat(choose(request()).replica()).isEqualTo("b")
        }

        @Test
        fun `one that is draining, excluded or in a closed zone is left out`() {
            add("a", isDraining = true)
            add("b")
            add("c")
            expectThat(choose(request(excluded = setOf(ReplicaId("b")))).replica()).isEqualTo("c")
            expectThat(choose(request(closed = setOf(ZoneName("north-a")))))
                .isEqualTo(PlacementDecision.NoReplica)
        }

        @Test
        fun `a queue that would use up the target latency is no place, and a longer one is left for urgent requests`() {
            add("a")
            // 300 ms a request over 4 slots: 2 places within a quarter of 800 ms, 4 within four tenths.
            occupy("a", 6)
            expectThat(choose(request())).isA<PlacementDecision.Full>()
            expectThat(choose(request(isUrgent = true)).replica()).isEqualTo("a")
            occupy("a", 8)
            expectThat(choose(request(isUrgent = true))).isA<PlacementDecision.Full>()
        }

        @Test
        fun `short work may queue at the last replica so that its slots stay busy`() {
            add("a")
            serve("a", took = 80.milliseconds, ahead = 0)
            occupy("a", 11)
            expectThat(choose(request()).replica()).isEqualTo("a")
            occupy("a", 12)
            expectThat(choose(request())).isA<PlacementDecision.Full>()
        }

        @Test
        fun `requests of a plain service may wait for half of their target latency`() {
            add("a", tokenCapacity = 0)
            serve("a", took = 80.milliseconds, ahead = 0)
            occupy("a", 15)
            expectThat(choose(request()).replica()).isEqualTo("a")
            occupy("a", 16)
            expectThat(choose(request())).isA<PlacementDecision.Full>()
        }

        @Test
        fun `a queue does not make a replica look slow`() {
            add("a", tokenCapacity = 0)
            serve("a", took = 320.milliseconds, ahead = 15)
            occupy("a", 15)
            expectThat(choose(request()).replica()).isEqualTo("a")
        }

        @Test
        fun `what a replica tells of its load goes before what hosts have told for a moment`() {
            add("a", tokenCapacity = 0)
            add("b", tokenCapacity = 0)
            occupy("b", 2)
            replicas.find(ReplicaId("a"))!!.recordSelfReportedLoad(9, now)
            expectThat(choose(request()).replica()).isEqualTo("b")
            expectThat(placement.choose(request(), emptySet(), now + 200.milliseconds).replica()).isEqualTo("a")
        }

        @Test
        fun `a full memory is no place though slots are free`() {
            add("a")
            occupy("a", 1, tokens = 99_500)
            expectThat(choose(request())).isA<PlacementDecision.Full>()
        }

        @Test
        fun `a large shared part goes where it was read before while loads are alike`() {
            listOf("a", "b", "c").forEach { add(it) }
            val parts = listOf(PromptPart("shared", 20_000), PromptPart("own", 10))
            val first = choose(request(parts)).replica()!!
            replicas.find(ReplicaId(first))!!.recordStart(ReplicaLoad(1, 0, 0), parts, Duration.ZERO, now)
            expectThat(choose(request(parts)).replica()).isEqualTo(first)
        }
    }

    @Nested
    inner class `given cold and failing replicas` {
        @Test
        fun `a cold one rests between two requests`() {
            add("a", coldUntil = 5.seconds)
            expectThat(choose(request()).replica()).isEqualTo("a")
            replicas.find(ReplicaId("a"))!!.recordStart(ReplicaLoad(1, 0, 0), emptyList(), 500.milliseconds, now)
            expectThat(choose(request())).isEqualTo(PlacementDecision.NoReplica)
            expectThat(placement.choose(request(), emptySet(), now + 600.milliseconds).replica()).isEqualTo("a")
        }

        @Test
        fun `replicas of a zone that is open again are used like cold ones until they have reported`() {
            add("a")
            replicas.markZoneCold(ZoneName("north-a"), now)
            replicas.find(ReplicaId("a"))!!.recordStart(ReplicaLoad(1, 0, 0), emptyList(), 500.milliseconds, now)
            expectThat(choose(request())).isEqualTo(PlacementDecision.NoReplica)
            expectThat(placement.choose(request(), emptySet(), now + 3.seconds).replica()).isEqualTo("a")
        }

        @Test
        fun `a zone that is open again does not shorten the time for which a replica is cold`() {
            add("a", coldUntil = 5.seconds)
            replicas.markZoneCold(ZoneName("north-a"), now)
            replicas.find(ReplicaId("a"))!!.recordStart(ReplicaLoad(1, 0, 0), emptyList(), 9.seconds, now)
            expectThat(placement.choose(request(), emptySet(), now + 4.seconds)).isEqualTo(PlacementDecision.NoReplica)
        }

        @Test
        fun `one that broke off several answers rests for a while`() {
            add("a")
            add("b")
            val broken = replicas.find(ReplicaId("a"))!!
            repeat(3) {
                broken.recordStart(ReplicaLoad(1, 0, 0), emptyList(), Duration.ZERO, now)
                broken.recordEnd(ReplicaLoad(1, 0, 0), ReplicaAttemptResult.BROKEN, 10.milliseconds, 0, now)
            }
            occupy("b", 3)
            expectThat(choose(request()).replica()).isEqualTo("b")
            expectThat(placement.choose(request(), emptySet(), now + 2.seconds).replica()).isNotEqualTo(null)
        }

        @Test
        fun `one that has been silent gets no more requests`() {
            add("a")
            add("b")
            replicas.find(ReplicaId("a"))!!.recordStart(ReplicaLoad(1, 0, 0), emptyList(), Duration.ZERO, now)
            replicas.find(ReplicaId("b"))!!.recordHostLoad(HostName("o"), ReplicaLoad(3, 0, 0), now + 2.seconds)
            expectThat(placement.choose(request(), emptySet(), now + 2.seconds).replica()).isEqualTo("b")
        }
    }
}
