package org.buckthornwheel.daemon.membership

import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.settings.AddressMapping

/** Translates the addresses that other hosts advertise into those under which this host reaches them. */
internal class AddressBook(mappings: List<AddressMapping>) {
    private val reachedAt = mappings.associate { it.advertised.address() to it.reachedAt.address() }

    fun reachableAddress(advertised: NetworkAddress): NetworkAddress = reachedAt[advertised] ?: advertised
}
