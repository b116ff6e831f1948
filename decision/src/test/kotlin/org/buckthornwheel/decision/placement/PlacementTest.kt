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
    inner class `given replicas of the local region` {
        @Test
        fun `the replica with fewer requests in flight is chosen`() {
            add("a")
            add("b")
            occupy("a", 3)
            expectThat(choose(request()).chosenReplica()).isEqualTo("b")
        }

        @Test
        fun `a replica that is draining, excluded or in a closed zone is not chosen`() {
            add("a", isDraining = true)
            add("b")
            add("c")
            expectThat(choose(request(excluded = setOf(ReplicaId("b")))).chosenReplica()).isEqualTo("c")
            expectThat(choose(request(closed = setOf(ZoneName("north-a")))))
                .isEqualTo(PlacementDecision.NoReplica)
        }

        @Test
        fun `a queue too long for the target latency makes a replica full, for urgent requests only a longer one`() {
            add("a")
            // 300 ms per request and 4 slots: a wait of a quarter of 800 ms allows 2 queued requests, four tenths 4.
            occupy("a", 6)
            expectThat(choose(request())).isA<PlacementDecision.Full>()
            expectThat(choose(request(isUrgent = true)).chosenReplica()).isEqualTo("a")
            occupy("a", 8)
            expectThat(choose(request(isUrgent = true))).isA<PlacementDecision.Full>()
        }

        @Test
        fun `a less urgent request with a longer target joins no longer queue than a more urgent one`() {
            add("a")
            occupy("a", 6)
            val patient = request().copy(targetLatency = 6.seconds, queueTarget = 6.seconds)
            expectThat(choose(patient).chosenReplica()).isEqualTo("a")
            expectThat(choose(patient.copy(queueTarget = 800.milliseconds))).isA<PlacementDecision.Full>()
        }

        @Test
        fun `short requests may queue at the last replica so that its slots stay busy`() {
            add("a")
            serve("a", duration = 80.milliseconds, ahead = 0)
            occupy("a", 11)
            expectThat(choose(request()).chosenReplica()).isEqualTo("a")
            occupy("a", 12)
            expectThat(choose(request())).isA<PlacementDecision.Full>()
        }

        @Test
        fun `requests of a plain service may queue for half of their target latency`() {
            add("a", tokenCapacity = 0)
            serve("a", duration = 80.milliseconds, ahead = 0)
            occupy("a", 15)
            expectThat(choose(request()).chosenReplica()).isEqualTo("a")
            occupy("a", 16)
            expectThat(choose(request())).isA<PlacementDecision.Full>()
        }

        @Test
        fun `the wait in the queue does not count towards the average service time`() {
            add("a", tokenCapacity = 0)
            serve("a", duration = 320.milliseconds, ahead = 15)
            occupy("a", 15)
            expectThat(choose(request()).chosenReplica()).isEqualTo("a")
        }

        @Test
        fun `a self-reported load briefly overrides the loads reported by hosts`() {
            add("a", tokenCapacity = 0)
            add("b", tokenCapacity = 0)
            occupy("b", 2)
            replicas.find(ReplicaId("a"))!!.recordSelfReportedLoad(9, now)
            expectThat(choose(request()).chosenReplica()).isEqualTo("b")
            expectThat(placement.choose(request(), emptySet(), now + 200.milliseconds).chosenReplica()).isEqualTo("a")
        }

        @Test
        fun `a replica with full memory is full although slots are free`() {
            add("a")
            occupy("a", 1, tokens = 99_500)
            expectThat(choose(request())).isA<PlacementDecision.Full>()
        }

        @Test
        fun `a request with a large shared part goes to the replica that has it cached while loads are similar`() {
            listOf("a", "b", "c").forEach { add(it) }
            val parts = listOf(PromptPart("shared", 20_000), PromptPart("own", 10))
            val first = choose(request(parts)).chosenReplica()!!
            replicas.find(ReplicaId(first))!!.recordStart(ReplicaLoad(1, 0, 0), parts, Duration.ZERO, now)
            expectThat(choose(request(parts)).chosenReplica()).isEqualTo(first)
        }
    }

    @Nested
    inner class `given cold and failing replicas` {
        @Test
        fun `a cold replica gets the next request only after an interval`() {
            add("a", coldUntil = 5.seconds)
            expectThat(choose(request()).chosenReplica()).isEqualTo("a")
            replicas.find(ReplicaId("a"))!!.recordStart(ReplicaLoad(1, 0, 0), emptyList(), 500.milliseconds, now)
            expectThat(choose(request())).isEqualTo(PlacementDecision.NoReplica)
            expectThat(placement.choose(request(), emptySet(), now + 600.milliseconds).chosenReplica()).isEqualTo("a")
        }

        @Test
        fun `replicas of a reopened zone are treated as cold until they have had time to report`() {
            add("a")
            replicas.markZoneCold(ZoneName("north-a"), now)
            replicas.find(ReplicaId("a"))!!.recordStart(ReplicaLoad(1, 0, 0), emptyList(), 500.milliseconds, now)
            expectThat(choose(request())).isEqualTo(PlacementDecision.NoReplica)
            expectThat(placement.choose(request(), emptySet(), now + 3.seconds).chosenReplica()).isEqualTo("a")
        }

        @Test
        fun `reopening a zone does not shorten the time for which a replica is cold`() {
            add("a", coldUntil = 5.seconds)
            replicas.markZoneCold(ZoneName("north-a"), now)
            replicas.find(ReplicaId("a"))!!.recordStart(ReplicaLoad(1, 0, 0), emptyList(), 9.seconds, now)
            expectThat(placement.choose(request(), emptySet(), now + 4.seconds)).isEqualTo(PlacementDecision.NoReplica)
        }

        @Test
        fun `a replica that broke off several responses is ejected for a while`() {
            add("a")
            add("b")
            val broken = replicas.find(ReplicaId("a"))!!
            repeat(3) {
                broken.recordStart(ReplicaLoad(1, 0, 0), emptyList(), Duration.ZERO, now)
                broken.recordEnd(ReplicaLoad(1, 0, 0), ReplicaAttemptResult.BROKEN, 10.milliseconds, 0, now)
            }
            occupy("b", 3)
            expectThat(choose(request()).chosenReplica()).isEqualTo("b")
            expectThat(placement.choose(request(), emptySet(), now + 2.seconds).chosenReplica()).isNotEqualTo(null)
        }

        @Test
        fun `a replica that has been silent gets no more requests`() {
            add("a")
            add("b")
            replicas.find(ReplicaId("a"))!!.recordStart(ReplicaLoad(1, 0, 0), emptyList(), Duration.ZERO, now)
            replicas.find(ReplicaId("b"))!!.recordHostLoad(HostName("o"), ReplicaLoad(3, 0, 0), now + 2.seconds)
            expectThat(placement.choose(request(), emptySet(), now + 2.seconds).chosenReplica()).isEqualTo("b")
        }
    }
}
