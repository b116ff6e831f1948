package org.buckthornwheel.decision.attempt

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ServiceName
import kotlin.time.Duration

/**
 * Limits the retries that all hosts together send to a service within a sliding window.
 *
 * Each host enforces its own part of the limit, which has two terms: a ratio of its own requests in the window, and an
 * equal part of a fixed allowance. While replicas fail many requests, the ratio provides most retries, so nearly all of
 * it is used; it is correct for any number of hosts. Less of the allowance is used, to leave room for hosts that are
 * not counted.
 *
 * @param ratio retries permitted for each request.
 * @param allowance additional retries permitted in a window, over all hosts.
 * @param ratioShare share of the ratio that is used, from 0 to 1.
 * @param allowanceShare share of the allowance that is used, from 0 to 1.
 */
public class WindowedRetryBudget(
    private val ratio: Double,
    private val allowance: Double,
    private val window: Duration,
    private val ratioShare: Double,
    private val allowanceShare: Double,
) {
    private class ServiceWindow(window: Duration) {
        val requests = EventWindow(window)
        val retries = EventWindow(window)
    }

    private val lock = Any()
    private val windows = HashMap<ServiceName, ServiceWindow>()

    /** Records a caller's request for [service]. */
    public fun recordRequest(service: ServiceName, now: MonotonicInstant): Unit = synchronized(lock) {
        serviceWindow(service).requests.add(now)
    }

    /**
     * Withdraws one retry for [service]; false if none is left.
     *
     * @param hosts number of hosts that share the allowance; null if this host may take no part of it.
     */
    public fun tryWithdraw(service: ServiceName, hosts: Int?, now: MonotonicInstant): Boolean = synchronized(lock) {
        val counted = serviceWindow(service)
        val permittedByRatio = ratio * ratioShare * counted.requests.count(now)
        val ownAllowance = hosts?.let { allowance * allowanceShare / maxOf(1, it) } ?: 0.0
        val permitted = permittedByRatio + ownAllowance
        if (counted.retries.count(now) + 1 > permitted) return false
        counted.retries.add(now)
        true
    }

    /** Returns a retry that was withdrawn for [service] at [withdrawnAt] and not sent. */
    public fun giveBack(service: ServiceName, withdrawnAt: MonotonicInstant): Unit = synchronized(lock) {
        serviceWindow(service).retries.remove(withdrawnAt)
    }

    private fun serviceWindow(service: ServiceName): ServiceWindow = windows.getOrPut(service) { ServiceWindow(window) }
}
