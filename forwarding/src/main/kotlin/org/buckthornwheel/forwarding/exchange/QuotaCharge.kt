package org.buckthornwheel.forwarding.exchange

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.account.AccountQuotas

/** What a request took of the limit of its [account]: [cost] units. Used on one event loop. */
internal class QuotaCharge(
    private val quotas: AccountQuotas,
    private val account: AccountName,
    private val cost: Double,
) {
    private var isReturned = false

    /** Gives the units back, since the request was certainly not run; has an effect only once. */
    fun giveBack(now: MonotonicInstant) {
        if (isReturned) return
        isReturned = true
        quotas.giveBack(account, cost, now)
    }
}
