package org.buckthornwheel.decision.orders

import org.buckthornwheel.api.ModelName
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.estate.ModelItem
import kotlin.time.Duration

/**
 * Decides which orders the targets of one zone need so that they hold the declared versions.
 *
 * A new version is loaded beside the old one, and the old one is unloaded only when its successor is ready on the
 * same target, so that a model is served at every moment. Loads are paced, because the weight store's rate is
 * limited and a target that loads is slower.
 */
public class OrderPlanner(private val pacing: LoadPacing) {
    private var lastLoadAt: MonotonicInstant? = null

    /** The orders to send at [now]; loads that the pacing does not allow yet are left for a later call. */
    public fun plan(
        models: Collection<ModelItem>,
        inventories: List<TargetInventory>,
        now: MonotonicInstant,
    ): List<Order> {
        val wanted = models.associate { it.name to VersionName(it.version) }
        return inventories.flatMap { unloads(wanted, it) } + paced(wanted, inventories, now)
    }

    private fun paced(
        wanted: Map<ModelName, VersionName>,
        inventories: List<TargetInventory>,
        now: MonotonicInstant,
    ): List<Order> {
        val last = lastLoadAt
        val loading = inventories.sumOf { inventory -> inventory.held.count { !it.ready } }
        if (loading >= pacing.loadsAtOnce) return emptyList()
        if (last != null && now - last < pacing.interval) return emptyList()
        val next = inventories.firstNotNullOfOrNull { missing(wanted, it) } ?: return emptyList()
        lastLoadAt = now
        return listOf(next)
    }

    private fun missing(wanted: Map<ModelName, VersionName>, inventory: TargetInventory): Order.Load? {
        val target = inventory.target
        return target.models.firstNotNullOfOrNull { model ->
            val version = wanted[model] ?: return@firstNotNullOfOrNull null
            val held = inventory.held.any { it.model == model && it.version == version }
            if (held) null else Order.Load(target, model, version)
        }
    }

    private fun unloads(wanted: Map<ModelName, VersionName>, inventory: TargetInventory): List<Order> = inventory.held
        .filter { isReplaced(wanted, inventory, it) }
        .map { Order.Unload(inventory.target, it.model, it.version) }

    private fun isReplaced(
        wanted: Map<ModelName, VersionName>,
        inventory: TargetInventory,
        held: ModelVersionStatus,
    ): Boolean {
        if (held.model !in inventory.target.models) return true
        val successor = wanted[held.model] ?: return false
        if (held.version == successor) return false
        return inventory.held.any { it.model == held.model && it.version == successor && it.ready }
    }
}

/**
 * How fast the targets of one zone may load.
 *
 * @property interval least time between two load orders of the zone.
 * @property loadsAtOnce versions that may be loading in the zone at the same time.
 */
public data class LoadPacing(public val interval: Duration, public val loadsAtOnce: Int)
