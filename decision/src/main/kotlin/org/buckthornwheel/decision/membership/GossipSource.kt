package org.buckthornwheel.decision.membership

import kotlinx.collections.immutable.ImmutableList
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.Revision

/** What this host says of itself, read anew for each message. */
public interface GossipSource {
    /** The host's profile. */
    public fun profile(): HostProfile

    /** The revision of the estate that the host has applied. */
    public fun revision(): Revision

    /** The load of the own zone's targets for each kind of work. */
    public fun loads(): ImmutableList<WorkLoad>

    /** Peer addresses that may be greeted; a hint, never proof. */
    public fun seedAddresses(): Collection<NetworkAddress>
}
