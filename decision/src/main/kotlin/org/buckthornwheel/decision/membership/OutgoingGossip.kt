package org.buckthornwheel.decision.membership

import org.buckthornwheel.api.NetworkAddress

/** Computes the size of a message on the wire, headers included. */
public fun interface MessageSize {
    /** The size of [content] in bytes. */
    public fun of(content: GossipContent): Int
}

/** A gossip message to be sent to the host at [receiver]. */
public data class OutgoingGossip(public val receiver: NetworkAddress, public val content: GossipContent)
