package org.buckthornwheel.decision.placement

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.replica.AttemptResult
import org.buckthornwheel.decision.replica.PromptPart
import org.buckthornwheel.decision.replica.Replica
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.decision.replica.ReplicaLoad
import org.buckthornwheel.decision.replica.ReplicaRegistry
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class PlacementTest {
    private val now = MonotonicInstant(0) + 1_000.seconds
    private val replicas = ReplicaRegistry()
    private val placement = Placement(
        Distances(NORTH, ZoneName("north-a"), crossZoneMilliseconds = 12.0, crossRegionMilliseconds = 120.0),
        replicas,
    )

    private fun add(
        id: String,
        region: RegionName = NORTH,
        isDraining: Boolean = false,
        coldUntil: Duration? = null,
        zone: String = "a",
        tokenCapacity: Long = 100_000,
    ) {
        replicas.put(
            Replica(
                ReplicaId(id),
                ENGINES,
                NetworkAddress("10.0.0.1", 80),
                ZoneName("$region-$zone"),
                region,
                slots = 4,
                isDraining = isDraining,
                startedAt = 1,
            ),
            tokenCapacity = tokenCapacity,
            coldUntil = coldUntil?.let { now + it },
        )
    }

    private fun serve(id: String, took: Duration, ahead: Int) {
        val replica = replicas.find(ReplicaId(id))!!
        repeat(40) {
            replica.begin(ReplicaLoad(1, 0, 0), emptyList(), Duration.ZERO, now)
            replica.end(ReplicaLoad(1, 0, 0), AttemptResult.ANSWERED, took, ahead, now)
        }
    }

    private fun occupy(id: String, requests: Int, tokens: Long = 0) {
        replicas.find(ReplicaId(id))!!.reported(HostName("other"), ReplicaLoad(requests, tokens, 0), now)
    }

    private fun request(
        parts: List<PromptPart> = emptyList(),
        homes: Set<RegionName> = emptySet(),
        excluded: Set<ReplicaId> = emptySet(),
        closed: Set<ZoneName> = emptySet(),
        mayForward: Boolean = true,
        isUrgent: Boolean = false,
    ) = PlacementRequest(
        ENGINES,
        promptTokens = maxOf(1_000, parts.sumOf { it.tokens }),
        outputTokens = 100,
        parts = parts,
        priority = 1,
        targetLatency = 800.milliseconds,
        remaining = 6.seconds,
        homeRegions = homes,
        excluded = excluded,
        closedZones = closed,
        mayForward = mayForward,
        isUrgent = isUrgent,
    )

    private fun choose(request: PlacementRequest, reachable: Set<RegionName> = setOf(SOUTH)) =
        placement.choose(request, reachable, now)

    private fun PlacementDecision.replica(): String? = (this as? PlacementDecision.Local)?.replica?.id?.value

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
            replicas.find(ReplicaId("a"))!!.told(9, now)
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
            replicas.find(ReplicaId(first))!!.begin(ReplicaLoad(1, 0, 0), parts, Duration.ZERO, now)
            expectThat(choose(request(parts)).replica()).isEqualTo(first)
        }
    }

    @Nested
    inner class `given a prompt that another replica keeps` {
        private val parts = listOf(PromptPart("shared", 20_000), PromptPart("own", 10))

        private fun keep(id: String) = replicas.find(ReplicaId(id))!!.hasRead(parts.dropLast(1))

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

    @Nested
    inner class `given cold and failing replicas` {
        @Test
        fun `a cold one rests between two requests`() {
            add("a", coldUntil = 5.seconds)
            expectThat(choose(request()).replica()).isEqualTo("a")
            replicas.find(ReplicaId("a"))!!.begin(ReplicaLoad(1, 0, 0), emptyList(), 500.milliseconds, now)
            expectThat(choose(request())).isEqualTo(PlacementDecision.NoReplica)
            expectThat(placement.choose(request(), emptySet(), now + 600.milliseconds).replica()).isEqualTo("a")
        }

        @Test
        fun `replicas of a zone that is open again are used like cold ones until they have reported`() {
            add("a")
            replicas.reopened(ZoneName("north-a"), now)
            replicas.find(ReplicaId("a"))!!.begin(ReplicaLoad(1, 0, 0), emptyList(), 500.milliseconds, now)
            expectThat(choose(request())).isEqualTo(PlacementDecision.NoReplica)
            expectThat(placement.choose(request(), emptySet(), now + 3.seconds).replica()).isEqualTo("a")
        }

        @Test
        fun `a zone that is open again does not shorten the time for which a replica is cold`() {
            add("a", coldUntil = 5.seconds)
            replicas.reopened(ZoneName("north-a"), now)
            replicas.find(ReplicaId("a"))!!.begin(ReplicaLoad(1, 0, 0), emptyList(), 9.seconds, now)
            expectThat(placement.choose(request(), emptySet(), now + 4.seconds)).isEqualTo(PlacementDecision.NoReplica)
        }

        @Test
        fun `one that broke off several answers rests for a while`() {
            add("a")
            add("b")
            val broken = replicas.find(ReplicaId("a"))!!
            repeat(3) {
                broken.begin(ReplicaLoad(1, 0, 0), emptyList(), Duration.ZERO, now)
                broken.end(ReplicaLoad(1, 0, 0), AttemptResult.BROKEN, 10.milliseconds, 0, now)
            }
            occupy("b", 3)
            expectThat(choose(request()).replica()).isEqualTo("b")
            expectThat(placement.choose(request(), emptySet(), now + 2.seconds).replica()).isNotEqualTo(null)
        }

        @Test
        fun `one that has been silent gets no more requests`() {
            add("a")
            add("b")
            replicas.find(ReplicaId("a"))!!.begin(ReplicaLoad(1, 0, 0), emptyList(), Duration.ZERO, now)
            replicas.find(ReplicaId("b"))!!.reported(HostName("o"), ReplicaLoad(3, 0, 0), now + 2.seconds)
            expectThat(placement.choose(request(), emptySet(), now + 2.seconds).replica()).isEqualTo("b")
        }
    }

    private companion object {
        val NORTH = RegionName("north")
        val SOUTH = RegionName("south")
        val ENGINES = ServiceName("engines")
    }
}
