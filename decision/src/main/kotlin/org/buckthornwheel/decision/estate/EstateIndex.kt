package org.buckthornwheel.decision.estate

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import org.buckthornwheel.api.ModelName
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.api.estate.EstateItem
import org.buckthornwheel.api.estate.TargetItem
import org.buckthornwheel.api.estate.ZoneItem

/** Indexes of the items of one estate, built once for each revision. */
public class EstateIndex internal constructor(items: Collection<EstateItem>) {
    /** All declared targets, sorted by name. */
    public val targets: ImmutableList<TargetItem> =
        items.filterIsInstance<TargetItem>().sortedBy { it.name.value }.toImmutableList()

    /** All declared zones, sorted by name. */
    public val zones: ImmutableList<ZoneItem> =
        items.filterIsInstance<ZoneItem>().sortedBy { it.name.value }.toImmutableList()

    private val regions = zones.associate { it.name to it.region }

    private val byModel = targets
        .flatMap { target -> target.models.map { it to target } }
        .groupBy({ it.first }, { it.second })
        .mapValues { it.value.toImmutableList() }

    private val byService = targets
        .flatMap { target -> target.services.map { it to target } }
        .groupBy({ it.first }, { it.second })
        .mapValues { it.value.toImmutableList() }

    private val byZone = targets.groupBy { it.zone }.mapValues { it.value.toImmutableList() }

    /** Targets that serve [model]. */
    public fun targetsOf(model: ModelName): ImmutableList<TargetItem> = byModel[model] ?: persistentListOf()

    /** Targets that serve [service]. */
    public fun targetsOf(service: ServiceName): ImmutableList<TargetItem> = byService[service] ?: persistentListOf()

    /** Targets in [zone]. */
    public fun targetsIn(zone: ZoneName): ImmutableList<TargetItem> = byZone[zone] ?: persistentListOf()

    /** The region of [zone], if declared. */
    public fun regionOf(zone: ZoneName): RegionName? = regions[zone]
}
