package org.buckthornwheel.decision.membership

import kotlinx.collections.immutable.ImmutableList
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.ZoneName

/** The state from which all messages of one interval are built. */
internal class GossipRound(
    val peers: Map<HostName, HostProfile>,
    val membersOfOtherZones: Map<ZoneName, List<Member>>,
    val heartbeats: ImmutableList<GossipHeartbeat>,
    val links: ImmutableList<LinkRoundTrip>,
    val isRepresentative: Boolean,
    val isFirstRepresentative: Boolean,
    val forwardsPerSummary: Int,
)
