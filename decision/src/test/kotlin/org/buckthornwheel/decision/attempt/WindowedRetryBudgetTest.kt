package org.buckthornwheel.decision.attempt

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ServiceName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class WindowedRetryBudgetTest {
    private val service = ServiceName("ledger")
    private val start = MonotonicInstant(0)
    private val budget =
        WindowedRetryBudget(ratio = 0.2, allowance = 40.0, window = 10.seconds, ratioShare = 1.0, allowanceShare = 1.0)

    private fun withdrawAll(hosts: Int, at: MonotonicInstant): Int =
        generateSequence { budget.tryWithdraw(service, hosts, at) }.takeWhile { it }.count()

    @Test
    fun `a host may use its part of the allowance and a ratio of its own requests`() {
        repeat(50) { budget.recordRequest(service, start) }
        expectThat(withdrawAll(hosts = 4, start)).isEqualTo(20)
    }

    @Test
    fun `retries are available again after the window has passed`() {
        withdrawAll(hosts = 1, start)
        expectThat(budget.tryWithdraw(service, 1, start + 11.seconds)).isTrue()
    }

    @Test
    fun `all hosts together stay within the budget while a service fails`() {
        val hosts = 9
        val total = (1..hosts).sumOf {
            val own = WindowedRetryBudget(0.2, 40.0, 10.seconds, ratioShare = 0.95, allowanceShare = 0.7)
            repeat(100) { own.recordRequest(service, start) }
            generateSequence { own.tryWithdraw(service, hosts, start) }.takeWhile { it }.count()
        }
        expectThat(total <= 0.2 * hosts * 100 + 40).isTrue()
    }

    @Test
    fun `nearly the whole ratio is used while nearly half of the requests fail`() {
        val own = WindowedRetryBudget(0.2, 40.0, 10.seconds, ratioShare = 0.95, allowanceShare = 0.7)
        val retried = (0 until 1_000).count { number ->
            val now = start + 5.milliseconds * number
            own.recordRequest(service, now)
            number % 9 < 4 && own.tryWithdraw(service, hosts = 76, now)
        }
        expectThat(retried).isEqualTo(190)
    }
}
