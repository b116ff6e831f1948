package org.buckthornwheel.decision.routing

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.ModelName
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.NoteId
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.TargetName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.api.estate.AcceptedNote
import org.buckthornwheel.api.estate.EstateItem
import org.buckthornwheel.api.estate.ModelItem
import org.buckthornwheel.api.estate.PolicyItem
import org.buckthornwheel.api.estate.RegionItem
import org.buckthornwheel.api.estate.ReleaseNote
import org.buckthornwheel.api.estate.TargetItem
import org.buckthornwheel.api.estate.ZoneItem
import org.buckthornwheel.decision.estate.Estate
import org.buckthornwheel.decision.fleet.FleetLimits
import org.buckthornwheel.decision.fleet.TargetFleet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal val MODEL = ModelName("drafting")
internal val WORK = WorkName("drafting")
internal val START = MonotonicInstant(1_000_000_000)
internal val HOME = ZoneName("region-0-zone")

internal fun zone(region: Int) = ZoneName("region-$region-zone")

internal fun target(region: Int, number: Int) = TargetName("region-$region-engine-$number")

/** An estate with one zone per region and [targetsPerRegion] targets in each. */
internal fun estateOf(regions: Int, targetsPerRegion: Int, policy: PolicyItem = PolicyItem()): Estate {
    val items = ArrayList<EstateItem>(listOf(ModelItem(MODEL, "1"), policy))
    repeat(regions) { region ->
        items += RegionItem(RegionName("region-$region"))
        items += ZoneItem(zone(region), RegionName("region-$region"))
        repeat(targetsPerRegion) { number ->
            val address = NetworkAddress("127.0.0.1", 9_000 + number)
            items += TargetItem(target(region, number), zone(region), address, listOf(MODEL), capacity = 8)
        }
    }
    val note = ReleaseNote(id = NoteId("first"), author = "test", base = Revision.NONE, added = items)
    return Estate.EMPTY.apply(accepted(note)).getOrNull().let(::requireNotNull)
}

private fun accepted(note: ReleaseNote) = AcceptedNote(Revision(1), note, HostName("test"), 0)

internal fun fleet() = TargetFleet(FleetLimits(failuresToEject = 3, ejectionTime = 5.seconds))

internal fun Estate.request(
    permitted: Set<RegionName>? = null,
    mayForward: Boolean = true,
    prefixHash: Long = 0,
    seed: Long = 0,
    bytes: Int = 1_000,
) = RouteRequest(
    candidates = index.targetsOf(MODEL),
    permittedRegions = permitted,
    mayForward = mayForward,
    work = WORK,
    prefixHash = prefixHash,
    seed = seed,
    bytes = bytes,
)

internal fun RouteDecision.target(): TargetName = (this as RouteDecision.Local).target.name

/** Every other zone is reachable with the same [roundTrip], and has [waiting] queued requests. */
internal class FixedZoneStates(
    private val roundTrip: Duration = 110.milliseconds,
    private val waiting: (ZoneName) -> Int = { 0 },
) : RemoteZoneStates {
    override fun load(zone: ZoneName, work: WorkName) =
        ZoneLoad(usableTargets = 4, capacity = 32, running = 0, waiting = waiting(zone), age = 1.seconds)

    override fun roundTrip(zone: ZoneName) = roundTrip

    override fun isReachable(zone: ZoneName) = true
}
