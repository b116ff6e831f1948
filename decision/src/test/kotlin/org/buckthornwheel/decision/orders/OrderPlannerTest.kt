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
    private val declared = listOf(ModelItem(model, "2"))
    private val start = MonotonicInstant(0)
    private val planner = OrderPlanner(LoadPacing(interval = 10.seconds, loadsAtOnce = 1))

    private fun target(name: String) =
        TargetItem(TargetName(name), ZoneName("zone"), NetworkAddress("127.0.0.1", 1), models = listOf(model))

    private fun inventory(target: TargetItem, vararg loaded: ModelVersionStatus) =
        TargetInventory(target, loaded.toList())

    @Nested
    inner class `given a target with the old version` {
        private val target = target("a")

        @Test
        fun `the new version is loaded and the old one is not unloaded`() {
            val orders = planner.plan(
                declared,
                listOf(inventory(target, ModelVersionStatus(model, old, ready = true))),
                start,
            )
            expectThat(orders).containsExactly(Order.Load(target, model, new))
        }

        @Test
        fun `the old version is kept while the new one is loading`() {
            val loaded =
                inventory(
                    target,
                    ModelVersionStatus(model, old, ready = true),
                    ModelVersionStatus(model, new, ready = false),
                )
            expectThat(planner.plan(declared, listOf(loaded), start)).isEmpty()
        }

        @Test
        fun `the old version is unloaded when the new one is ready`() {
            val loaded =
                inventory(
                    target,
                    ModelVersionStatus(model, old, ready = true),
                    ModelVersionStatus(model, new, ready = true),
                )
            expectThat(planner.plan(declared, listOf(loaded), start)).containsExactly(Order.Unload(target, model, old))
        }
    }

    @Nested
    inner class `given several targets without the declared version` {
        private val inventories = listOf("a", "b", "c").map { inventory(target(it)) }

        @Test
        fun `only one load is ordered in each interval`() {
            expectThat(planner.plan(declared, inventories, start)).hasSize(1)
            expectThat(planner.plan(declared, inventories, start + 9.seconds)).isEmpty()
            expectThat(planner.plan(declared, inventories, start + 10.seconds)).hasSize(1)
        }
    }
}
