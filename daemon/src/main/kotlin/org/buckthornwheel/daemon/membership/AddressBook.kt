package org.buckthornwheel.daemon.membership

import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.settings.AddressMapping

/** Maps the addresses that other hosts advertise to the addresses at which this host can reach them. */
internal class AddressBook(mappings: List<AddressMapping>) {
    private val reachedAt = mappings.associate { it.advertised.address() to it.reachedAt.address() }

    fun reachableAddress(advertised: NetworkAddress): NetworkAddress = reachedAt[advertised] ?: advertised
}
