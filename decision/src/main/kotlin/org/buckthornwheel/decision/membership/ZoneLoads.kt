package org.buckthornwheel.decision.membership

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.estate.TargetItem
import org.buckthornwheel.decision.fleet.TargetFleet
import org.buckthornwheel.decision.routing.WorkName

/** Sums the load of a zone's targets for each kind of work that they serve. */
public object ZoneLoads {
    /** The loads of [targets] at [now], sorted by the name of the work; targets without a report are unusable. */
    public fun of(
        targets: Collection<TargetItem>,
        fleet: TargetFleet,
        now: MonotonicInstant,
    ): ImmutableList<WorkLoad> = targets
        .flatMap { target -> workNamesOf(target).map { it to target } }
        .groupBy({ it.first }, { it.second })
        .map { (work, group) -> load(work, group, fleet, now) }
        .sortedBy { it.work.value }
        .toImmutableList()

    private fun workNamesOf(target: TargetItem): List<WorkName> =
        target.models.map { WorkName(it.value) } + target.services.map { WorkName(it.value) }

    private fun load(work: WorkName, targets: List<TargetItem>, fleet: TargetFleet, now: MonotonicInstant): WorkLoad {
        val usable = targets.filter { target ->
            val state = fleet.state(target.name, now)
            !state.ejected && state.lastReport?.leaving == false
        }
        val reports = usable.mapNotNull { fleet.state(it.name, now).lastReport }
        return WorkLoad(
            work = work,
            usableTargets = usable.size,
            capacity = usable.sumOf { it.capacity },
            running = reports.sumOf { it.running },
            waiting = reports.sumOf { it.waiting },
        )
    }
}
