package org.buckthornwheel.decision.membership

import kotlinx.collections.immutable.ImmutableList
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.Revision

/** Supplies the state that this host reports about itself; it is read again for each message. */
public interface GossipSource {
    /** The host's profile. */
    public fun profile(): HostProfile

    /** The revision of the estate that the host has applied. */
    public fun revision(): Revision

    /** The load of the own zone's targets for each kind of work. */
    public fun loads(): ImmutableList<WorkLoad>

    /** Peer addresses to which join requests may be sent; hosts may or may not be running there. */
    public fun seedAddresses(): Collection<NetworkAddress>
}
