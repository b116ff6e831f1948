package org.buckthornwheel.decision.attempt

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ServiceName
import kotlin.time.Duration

/**
 * Bounds the repeats that all hosts together send to a service within a sliding window.
 *
 * Each host keeps to its own part: a share of its own requests in the window, and an even part of the fixed
 * allowance. While replicas fail many answers the first part is what callers are served by, so nearly all of it is
 * used; it holds whatever hosts there are. The second part leaves room for hosts that are not counted.
 *
 * @param ratio repeats permitted for each request.
 * @param allowance repeats permitted in a window besides, over all hosts.
 * @param ratioShare share of the first part that is used, from 0 to 1.
 * @param allowanceShare share of the second part that is used, from 0 to 1.
 */
public class WindowedRetryBudget(
    private val ratio: Double,
    private val allowance: Double,
    private val window: Duration,
    private val ratioShare: Double,
    private val allowanceShare: Double,
) {
    private class Account {
        val requests = ArrayDeque<MonotonicInstant>()
        val repeats = ArrayDeque<MonotonicInstant>()
    }

    private val lock = Any()
    private val accounts = HashMap<ServiceName, Account>()

    /** Counts a caller's request for [service]. */
    public fun recordRequest(service: ServiceName, now: MonotonicInstant): Unit = synchronized(lock) {
        account(service, now).requests.addLast(now)
    }

    /** Takes one repeat for [service], when [hosts] hosts share the budget; false if none is left. */
    public fun tryWithdraw(service: ServiceName, hosts: Int, now: MonotonicInstant): Boolean = synchronized(lock) {
        val account = account(service, now)
        val ofRequests = ratio * ratioShare * account.requests.size
        val permitted = ofRequests + allowance * allowanceShare / maxOf(1, hosts)
        if (account.repeats.size + 1 > permitted) return false
        account.repeats.addLast(now)
        true
    }

    private fun account(service: ServiceName, now: MonotonicInstant): Account {
        val account = accounts.getOrPut(service) { Account() }
        discardOld(account.requests, now)
        discardOld(account.repeats, now)
        return account
    }

    private fun discardOld(times: ArrayDeque<MonotonicInstant>, now: MonotonicInstant) {
        while (times.isNotEmpty() && now - times.first() > window) times.removeFirst()
    }
}
