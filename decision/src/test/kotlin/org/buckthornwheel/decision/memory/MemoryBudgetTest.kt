package org.buckthornwheel.decision.memory

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random

internal class MemoryBudgetTest {
    private val budget = MemoryBudget(capacity = 100, reserve = 20, smallBytes = 5)

    private fun reserved(bytes: Long) = Reservation(budget).apply { expectThat(tryResize(bytes)).isTrue() }

    @Test
    fun `large reservations leave the reserve to small ones`() {
        reserved(80)
        expectThat(Reservation(budget).tryResize(6)).isFalse()
        repeat(4) { reserved(5) }
        expectThat(Reservation(budget).tryResize(1)).isFalse()
        expectThat(budget.isExhausted).isTrue()
    }

    @Test
    fun `bytes are given back exactly once`() {
        val first = reserved(50)
        val second = reserved(30)
        repeat(2) { first.close() }
        expectThat(budget.held).isEqualTo(30)
        expectThat(first.tryResize(1)).isFalse()
        second.tryResize(10)
        second.close()
        expectThat(budget.held).isEqualTo(0)
    }

    @Test
    fun `waiting reservations are granted in their order as bytes are given back`() {
        val holder = reserved(80)
        val granted = ArrayList<String>()
        val waiting = listOf("first" to 60L, "second" to 10L, "third" to 30L).map { (name, bytes) ->
            Reservation(budget).apply { expectThat(resizeOrWait(bytes) { granted += name }).isFalse() }
        }
        holder.resize(30)
        expectThat(granted).isEmpty()
        holder.close()
        expectThat(granted).containsExactly("first", "second")
        waiting.first().close()
        expectThat(granted).containsExactly("first", "second", "third")
    }

    @Test
    fun `a small reservation does not wait behind large ones`() {
        reserved(80)
        Reservation(budget).resizeOrWait(50) { }
        expectThat(Reservation(budget).resizeOrWait(5) { }).isTrue()
    }

    @Test
    fun `a closed reservation that waited is never granted, and does not keep others waiting`() {
        reserved(50)
        val granted = ArrayList<String>()
        val large = Reservation(budget)
        large.resizeOrWait(60) { granted += "large" }
        Reservation(budget).resizeOrWait(20) { granted += "other" }
        large.close()
        expectThat(granted).containsExactly("other")
        expectThat(budget.held).isEqualTo(70)
    }

    @Test
    fun `a shortage is reported while reservations wait, and once after a refusal`() {
        expectThat(budget.takeShortage()).isFalse()
        Reservation(budget).tryResize(90)
        expectThat(budget.takeShortage()).isTrue()
        expectThat(budget.takeShortage()).isFalse()
        val waiting = Reservation(budget).apply { resizeOrWait(90) { } }
        repeat(3) { expectThat(budget.takeShortage()).isTrue() }
        waiting.close()
        expectThat(budget.takeShortage()).isFalse()
    }

    @Test
    fun `whatever the order of steps, the account equals the open reservations and stays in its capacity`() {
        for (seed in 1..50) {
            val random = Random(seed)
            val account = MemoryBudget(capacity = 100, reserve = 20, smallBytes = 5)
            val reservations = List(20) { Reservation(account) }
            repeat(500) {
                val chosen = reservations.random(random)
                when (random.nextInt(4)) {
                    0 -> chosen.tryResize(random.nextLong(40))
                    1 -> chosen.resizeOrWait(random.nextLong(40)) { }
                    2 -> chosen.resize(random.nextLong(chosen.bytes + 1))
                    else -> if (random.nextInt(50) == 0) chosen.close()
                }
                expectThat(account.held).isEqualTo(reservations.sumOf { it.bytes })
                expectThat(account.held).isLessThanOrEqualTo(account.capacity)
            }
            reservations.forEach(Reservation::close)
            expectThat(account.held).isEqualTo(0)
        }
    }
}
