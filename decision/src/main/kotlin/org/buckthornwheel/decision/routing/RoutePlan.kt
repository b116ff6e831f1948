package org.buckthornwheel.decision.routing

import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.api.estate.TargetItem
import org.buckthornwheel.decision.estate.Estate
import org.buckthornwheel.decision.fleet.TargetFleet
import org.buckthornwheel.decision.fleet.TargetShard
import java.util.concurrent.ConcurrentHashMap

/** A target of the local zone with the data that the router needs of it. */
internal class PlannedTarget(val item: TargetItem, val shard: TargetShard) {
    val nameHash: Long = RendezvousHash.weight("target", item.name.value)
    val capacity: Int = item.capacity.coerceAtLeast(1)
}

/** Another zone with targets for the model or service. */
internal class PlannedZone(val name: ZoneName, val region: RegionName?, val sameRegion: Boolean)

/** The targets for one model or service, grouped by zone once per revision of the estate. */
internal class RoutePlan(val region: RegionName?, val local: Array<PlannedTarget>, val remote: List<PlannedZone>) {
    /** Whether [permitted] contains the local region. */
    fun isLocalRegionPermitted(permitted: Set<RegionName>?): Boolean = isPermitted(region, permitted)

    /** The other zones that [request] may be forwarded to. */
    fun permittedRemote(request: RouteRequest): List<PlannedZone> =
        remote.filter { isPermitted(it.region, request.permittedRegions) && it.name !in request.visitedZones }

    private fun isPermitted(region: RegionName?, permitted: Set<RegionName>?): Boolean =
        permitted == null || (region != null && region in permitted)
}

/** Caches the plans of the current revision, until a new revision or a removal of targets from the fleet. */
internal class RoutePlans(private val zone: ZoneName, private val fleet: TargetFleet) {
    @Volatile
    private var current = RevisionPlans(Estate.EMPTY, 0)

    fun of(estate: Estate, candidates: List<TargetItem>): RoutePlan {
        val plans = plansOf(estate)
        return plans.byCandidates.computeIfAbsent(ListIdentity(candidates)) { build(estate, candidates) }
    }

    private fun plansOf(estate: Estate): RevisionPlans {
        val generation = fleet.generation
        val existing = current
        if (existing.estate === estate && existing.generation == generation) return existing
        return RevisionPlans(estate, generation).also { current = it }
    }

    private fun build(estate: Estate, candidates: List<TargetItem>): RoutePlan {
        val region = estate.index.regionOf(zone)
        val local = candidates.filter { it.zone == zone }.map { PlannedTarget(it, fleet.shard(it.name)) }
        val remote = candidates.map { it.zone }.distinct().filter { it != zone }.map { name ->
            val other = estate.index.regionOf(name)
            PlannedZone(name, other, other == region)
        }
        return RoutePlan(region, local.toTypedArray(), remote)
    }

    private class RevisionPlans(val estate: Estate, val generation: Int) {
        val byCandidates = ConcurrentHashMap<ListIdentity, RoutePlan>()
    }

    /** Compares lists by identity, since the estate's index returns the same list for the same model or service. */
    private class ListIdentity(private val list: List<TargetItem>) {
        override fun equals(other: Any?): Boolean = other is ListIdentity && other.list === list

        override fun hashCode(): Int = System.identityHashCode(list)
    }
}
