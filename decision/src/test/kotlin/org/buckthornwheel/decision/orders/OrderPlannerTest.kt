package org.buckthornwheel.decision.orders

import org.buckthornwheel.api.ModelName
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.TargetName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.api.estate.ModelItem
import org.buckthornwheel.api.estate.TargetItem
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import kotlin.time.Duration.Companion.seconds

class OrderPlannerTest {
    private val model = ModelName("drafting")
    private val old = VersionName("1")
    private val new = VersionName("2")
    private val wanted = listOf(ModelItem(model, "2"))
    private val start = MonotonicInstant(0)
    private val planner = OrderPlanner(LoadPacing(interval = 10.seconds, loadsAtOnce = 1))

    private fun target(name: String) =
        TargetItem(TargetName(name), ZoneName("zone"), NetworkAddress("127.0.0.1", 1), models = listOf(model))

    private fun inventory(target: TargetItem, vararg held: ModelVersionStatus) = TargetInventory(target, held.toList())

    @Nested
    inner class `given a target that holds the old version` {
        private val target = target("a")

        @Test
        fun `the new version is loaded beside it and nothing is unloaded`() {
            val orders = planner.plan(
                wanted,
                listOf(inventory(target, ModelVersionStatus(model, old, ready = true))),
                start,
            )
            expectThat(orders).containsExactly(Order.Load(target, model, new))
        }

        @Test
        fun `the old version stays while the new one is loading`() {
            val held =
                inventory(
                    target,
                    ModelVersionStatus(model, old, ready = true),
                    ModelVersionStatus(model, new, ready = false),
                )
            expectThat(planner.plan(wanted, listOf(held), start)).isEmpty()
        }

        @Test
        fun `the old version goes once the new one is ready`() {
            val held =
                inventory(
                    target,
                    ModelVersionStatus(model, old, ready = true),
                    ModelVersionStatus(model, new, ready = true),
                )
            expectThat(planner.plan(wanted, listOf(held), start)).containsExactly(Order.Unload(target, model, old))
        }
    }

    @Nested
    inner class `given several targets without the version` {
        private val inventories = listOf("a", "b", "c").map { inventory(target(it)) }

        @Test
        fun `one load is ordered at a time`() {
            expectThat(planner.plan(wanted, inventories, start)).hasSize(1)
            expectThat(planner.plan(wanted, inventories, start + 9.seconds)).isEmpty()
            expectThat(planner.plan(wanted, inventories, start + 10.seconds)).hasSize(1)
        }
    }
}
