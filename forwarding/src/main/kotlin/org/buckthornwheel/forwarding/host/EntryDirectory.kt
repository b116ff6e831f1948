package org.buckthornwheel.forwarding.host

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.entry.KnownEntryHosts

/** Resolves the addresses of the entry hosts that callers should use. */
public class EntryDirectory internal constructor(
    private val hosts: KnownEntryHosts,
    private val routingState: RoutingState,
    private val isReady: () -> Boolean,
    private val currency: ManifestCurrency,
    private val clock: MonotonicClock,
) {
    /** Addresses for a caller in [zone] and [region] that resolves [hostName]; empty if no host is ready. */
    public fun addresses(hostName: String, zone: ZoneName?, region: RegionName?): List<NetworkAddress> =
        hosts.hostsForCaller(zone, region, homeRegions(hostName), isReady(), clock.now(), currency.refusesAccounts)
            .map { it.callerAddress }
            .take(MAXIMUM_ADDRESSES)

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
