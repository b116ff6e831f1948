package org.buckthornwheel.decision.placement

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.replica.PromptPart
import org.buckthornwheel.decision.replica.Replica
import org.buckthornwheel.decision.replica.ReplicaAttemptResult
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.decision.replica.ReplicaLoad
import org.buckthornwheel.decision.replica.ReplicaRegistry
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Fixture with replicas in two regions, their load, and requests to place. */
internal abstract class PlacementSetup {
    protected val now = MonotonicInstant(0) + 1_000.seconds
    protected val replicas = ReplicaRegistry()
    protected val placement = Placement(
        Distances(NORTH, ZoneName("north-a"), crossZoneMilliseconds = 12.0, crossRegionMilliseconds = 120.0),
        replicas,
    )

    protected fun add(
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

    protected fun serve(id: String, duration: Duration, ahead: Int) {
        val replica = replicas.find(ReplicaId(id))!!
        repeat(40) {
            replica.recordStart(ReplicaLoad(1, 0, 0), emptyList(), Duration.ZERO, now)
            replica.recordEnd(ReplicaLoad(1, 0, 0), ReplicaAttemptResult.ANSWERED, duration, ahead, now)
        }
    }

    protected fun occupy(id: String, requests: Int, tokens: Long = 0) {
        replicas.find(ReplicaId(id))!!.recordHostLoad(HostName("other"), ReplicaLoad(requests, tokens, 0), now)
    }

    protected fun request(
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

    protected fun choose(request: PlacementRequest, reachable: Set<RegionName> = setOf(SOUTH)) =
        placement.choose(request, reachable, now)

    protected fun PlacementDecision.chosenReplica(): String? = (this as? PlacementDecision.Local)?.replica?.id?.value

    protected companion object {
        val NORTH = RegionName("north")
        val SOUTH = RegionName("south")
        val ENGINES = ServiceName("engines")
    }
}
