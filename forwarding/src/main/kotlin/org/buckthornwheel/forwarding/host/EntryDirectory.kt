package org.buckthornwheel.forwarding.host

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.entry.KnownEntryHosts
import org.buckthornwheel.decision.entry.SharedBudgets

/**
 * Resolves the addresses of the entry hosts that callers should use.
 *
 * A host that has just started may know neither the home regions nor the hosts there. Until the learning time of
 * [SharedBudgets] has passed, it leads a caller out of its region only to a home, or if the caller's routes are known
 * to have none. Callers that get no address resolve at another host.
 */
public class EntryDirectory internal constructor(
    private val hosts: KnownEntryHosts,
    private val routingState: RoutingState,
    private val isReady: () -> Boolean,
    private val currency: ManifestCurrency,
    private val clock: MonotonicClock,
) {
    private val startedAt = clock.now()

    /** Addresses for a caller in [zone] and [region] that resolves [hostName]; empty if no host is to be named. */
    public fun addresses(hostName: String, zone: ZoneName?, region: RegionName?): List<NetworkAddress> {
        val now = clock.now()
        val homes = homeRegions(hostName)
        val isConfined = !isSettled(now) && (routingState.manifest == null || homes.isNotEmpty())
        return hosts.hostsForCaller(zone, region, homes, isReady(), now, currency.refusesAccounts, isConfined)
            .map { it.callerAddress }
            .take(MAXIMUM_ADDRESSES)
    }

    private fun isSettled(now: MonotonicInstant): Boolean = now - startedAt >= SharedBudgets.LEARNING_TIME

    /** Regions that all routes of [hostName] may use; empty if any region may be used. */
    private fun homeRegions(hostName: String): Set<RegionName> = routingState.manifest?.routesOf(hostName).orEmpty()
        .map { it.homeRegions }
        .filter { it.isNotEmpty() }
        .reduceOrNull { common, next -> common intersect next }
        .orEmpty()

    private companion object {
        /** Callers do not read more addresses than this. */
        const val MAXIMUM_ADDRESSES = 64
    }
}
