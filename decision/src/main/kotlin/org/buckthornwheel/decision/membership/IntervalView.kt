package org.buckthornwheel.decision.membership

import kotlinx.collections.immutable.ImmutableList
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.ZoneName

/** What one interval's messages are made from. */
internal class IntervalView(
    val peers: Map<HostName, HostProfile>,
    val strangers: Map<ZoneName, List<Member>>,
    val heartbeats: ImmutableList<GossipHeartbeat>,
    val links: ImmutableList<LinkRoundTrip>,
    val speaks: Boolean,
    val speaksFirst: Boolean,
    val forwards: Int,
)
