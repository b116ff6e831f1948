package org.buckthornwheel.decision.orders

import org.buckthornwheel.api.ModelName
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.estate.ModelItem
import kotlin.time.Duration

/**
 * Plans the orders that bring the targets of one zone to the declared model versions.
 *
 * A new version is loaded in addition to the old one, and the old one is unloaded only when the new one is ready on the
 * same target, so that the model stays available. Loads are rate-limited, because the bandwidth of the weight store is
 * limited and a target is slower while it loads.
 */
public class OrderPlanner(private val pacing: LoadPacing) {
    private var lastLoadAt: MonotonicInstant? = null

    /** The orders to send at [now]; loads that [pacing] does not permit yet are left for a later call. */
    public fun plan(
        models: Collection<ModelItem>,
        inventories: List<TargetInventory>,
        now: MonotonicInstant,
    ): List<Order> {
        val declared = models.associate { it.name to VersionName(it.version) }
        return inventories.flatMap { unloads(declared, it) } + permittedLoads(declared, inventories, now)
    }

    private fun permittedLoads(
        declared: Map<ModelName, VersionName>,
        inventories: List<TargetInventory>,
        now: MonotonicInstant,
    ): List<Order> {
        val last = lastLoadAt
        val loading = inventories.sumOf { inventory -> inventory.versions.count { !it.ready } }
        if (loading >= pacing.loadsAtOnce) return emptyList()
        if (last != null && now - last < pacing.interval) return emptyList()
        val next = inventories.firstNotNullOfOrNull { missingLoad(declared, it) } ?: return emptyList()
        lastLoadAt = now
        return listOf(next)
    }

    private fun missingLoad(declared: Map<ModelName, VersionName>, inventory: TargetInventory): Order.Load? {
        val target = inventory.target
        return target.models.firstNotNullOfOrNull { model ->
            val version = declared[model] ?: return@firstNotNullOfOrNull null
            val present = inventory.versions.any { it.model == model && it.version == version }
            if (present) null else Order.Load(target, model, version)
        }
    }

    private fun unloads(declared: Map<ModelName, VersionName>, inventory: TargetInventory): List<Order> =
        inventory.versions
            .filter { isReplaced(declared, inventory, it) }
            .map { Order.Unload(inventory.target, it.model, it.version) }

    private fun isReplaced(
        declared: Map<ModelName, VersionName>,
        inventory: TargetInventory,
        current: ModelVersionStatus,
    ): Boolean {
        if (current.model !in inventory.target.models) return true
        val successor = declared[current.model] ?: return false
        if (current.version == successor) return false
        return inventory.versions.any { it.model == current.model && it.version == successor && it.ready }
    }
}

/**
 * Rate limit of the load orders in one zone.
 *
 * @property interval minimum time between two load orders in the zone.
 * @property loadsAtOnce maximum number of versions that are loading in the zone at the same time.
 */
public data class LoadPacing(public val interval: Duration, public val loadsAtOnce: Int)
