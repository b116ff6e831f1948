package org.buckthornwheel.forwarding.exchange

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.account.AccountQuotas
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly

internal class QuotaChargeTest {
    @Test
    fun `the units of a request are given back only once`() {
        val given = ArrayList<Double>()
        val quotas = object : AccountQuotas by AccountQuotas.UNLIMITED {
            override fun giveBack(account: AccountName, cost: Double, now: MonotonicInstant) {
                given += cost
            }
        }
        val charge = QuotaCharge(quotas, AccountName("a"), cost = 1_540.0)
        repeat(3) { charge.giveBack(MonotonicInstant(0)) }
        expectThat(given).containsExactly(1_540.0)
    }
}
