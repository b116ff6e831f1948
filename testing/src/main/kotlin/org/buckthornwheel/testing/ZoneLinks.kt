package org.buckthornwheel.testing

import org.buckthornwheel.settings.AddressMapping
import org.buckthornwheel.settings.NetworkAddressText

/**
 * Puts a [FaultProxy] on the link from each host of an estate to each other host, and from each host to the platform.
 *
 * Must be created before the hosts are started.
 */
public class ZoneLinks(estate: LocalEstate) : AutoCloseable {
    private data class Link(val source: LocalHost, val destination: LocalHost, val proxy: FaultProxy)

    private val links = estate.hosts.flatMap { source ->
        estate.hosts.filter { it != source }.map { Link(source, it, FaultProxy(it.peers)) }
    }

    private val platformLinks = estate.hosts.associateWith { FaultProxy(estate.platform) }

    init {
        estate.addressMappingsOf = { host -> links.filter { it.source == host }.map { it.addressMapping() } }
        estate.platformAddressOf = { host -> platformLinks.getValue(host).address }
    }

    /** The proxy on the link from [host] to the platform. */
    public fun platformLink(host: LocalHost): FaultProxy = platformLinks.getValue(host)

    /** The proxy on the link from [source] to [destination]. */
    public fun link(source: LocalHost, destination: LocalHost): FaultProxy =
        links.first { it.source == source && it.destination == destination }.proxy

    /** Cuts all links between the zones [one] and [other], in both directions. */
    public fun cut(one: String, other: String): Unit = proxiesBetween(one, other).forEach { it.cut() }

    /** Restores all links between the zones [one] and [other]. */
    public fun heal(one: String, other: String): Unit = proxiesBetween(one, other).forEach { it.heal() }

    /** Cuts the link to the platform of every host in [zone]. */
    public fun cutPlatform(zone: String): Unit = platformLinksOf(zone).forEach { it.cut() }

    /** Restores the link to the platform of every host in [zone]. */
    public fun healPlatform(zone: String): Unit = platformLinksOf(zone).forEach { it.heal() }

    override fun close() {
        links.forEach { it.proxy.close() }
        platformLinks.values.forEach { it.close() }
    }

    private fun platformLinksOf(zone: String): List<FaultProxy> =
        platformLinks.filterKeys { it.zone.name == zone }.values.toList()

    private fun proxiesBetween(one: String, other: String): List<FaultProxy> = links
        .filter { setOf(it.source.zone.name, it.destination.zone.name) == setOf(one, other) }
        .map { it.proxy }

    private fun Link.addressMapping(): AddressMapping = AddressMapping(
        advertised = NetworkAddressText(destination.peers.toString()),
        reachedAt = NetworkAddressText(proxy.address.toString()),
    )
}
