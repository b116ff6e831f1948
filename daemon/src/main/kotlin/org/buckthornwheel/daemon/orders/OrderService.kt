package org.buckthornwheel.daemon.orders

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.api.estate.ModelItem
import org.buckthornwheel.daemon.configuration.EstateHolder
import org.buckthornwheel.daemon.observability.Part
import org.buckthornwheel.decision.orders.Order
import org.buckthornwheel.decision.orders.OrderLease
import org.buckthornwheel.decision.orders.OrderPermission
import org.buckthornwheel.decision.orders.OrderPlanner
import org.buckthornwheel.decision.orders.TargetInventory
import kotlin.time.Duration

/** Orders the local zone's model engines to run the declared versions, while this host holds the order lease. */
internal class OrderService(
    private val zone: ZoneName,
    private val estate: EstateHolder,
    private val lease: OrderLease,
    private val planner: OrderPlanner,
    private val repository: ModelRepository,
    private val interval: Duration,
    private val clock: MonotonicClock,
) {
    /** Runs until it is cancelled. */
    suspend fun run() {
        while (true) {
            if (lease.isHeld(clock.now())) sendMissingOrders()
            delay(interval)
        }
    }

    private suspend fun sendMissingOrders() {
        val models = estate.current().allItems.filterIsInstance<ModelItem>()
        planner.plan(models, inventories(), clock.now()).forEach { send(it) }
    }

    /** The inventories of the zone's engines; skips engines that fail to respond or may not get orders yet. */
    private suspend fun inventories(): List<TargetInventory> = coroutineScope {
        estate.current().index.targetsIn(zone)
            .filter { it.models.isNotEmpty() }
            .filter { lease.permission(it, clock.now()) is OrderPermission.Granted }
            .map { target -> async { repository.inventory(target).getOrNull()?.let { TargetInventory(target, it) } } }
            .awaitAll()
            .filterNotNull()
    }

    private suspend fun send(order: Order) {
        val permission = lease.permission(order.target, clock.now())
        if (permission !is OrderPermission.Granted) return
        repository.send(order, permission.fencing)
            .onRight { Part.ORDERS.info("${order.target.name} accepted the order: ${describe(order)}.") }
            .onLeft { Part.ORDERS.warn("${it.target} did not accept the order ${it.step}: ${it.detail}.") }
    }

    private fun describe(order: Order): String = when (order) {
        is Order.Load -> "load ${order.model} version ${order.version.value}"
        is Order.Unload -> "unload ${order.model} version ${order.version.value}"
    }
}
