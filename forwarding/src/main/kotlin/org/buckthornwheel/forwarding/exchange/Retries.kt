package org.buckthornwheel.forwarding.exchange

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.decision.attempt.WindowedRetryBudget
import org.buckthornwheel.decision.entry.SharedBudgets

/** The permission to send a request once more, returned by [giveBack]. Used on one event loop. */
internal class RetryPermit(private val giveBack: () -> Unit) {
    private var isReturned = false

    /** Returns it, since the request was not sent; has an effect only once. */
    fun giveBack() {
        if (isReturned) return
        isReturned = true
        giveBack.invoke()
    }
}

/** The retries that this host may send, as its part of the [budget] that all hosts share. */
internal class Retries(private val budget: WindowedRetryBudget, private val sharedBudgets: SharedBudgets) {
    fun recordRequest(service: ServiceName, now: MonotonicInstant): Unit = budget.recordRequest(service, now)

    /** Takes one retry for [service]; null if none is left. */
    fun take(service: ServiceName, now: MonotonicInstant): RetryPermit? {
        if (!budget.tryWithdraw(service, sharedBudgets.retrySharers(now), now)) return null
        return RetryPermit { budget.giveBack(service, now) }
    }
}
