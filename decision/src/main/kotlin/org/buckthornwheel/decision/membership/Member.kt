package org.buckthornwheel.decision.membership

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.ZoneName

/** What a host says of itself. */
public data class HostProfile(
    public val name: HostName,
    public val incarnation: Incarnation,
    public val region: RegionName,
    public val zone: ZoneName,
    public val callerAddress: NetworkAddress,
    public val peerAddress: NetworkAddress,
    public val leaving: Boolean,
)

/** How a host appears to another one. */
public enum class MemberState {
    /** Heard lately. */
    ALIVE,

    /** Silent for a while; gets no new work. */
    SUSPECTED,

    /** Said that it is stopping. */
    LEAVING,

    /** Silent for long. */
    GONE,
}

/**
 * One known host: its newest profile and sign of life, and its state at the time of the snapshot.
 *
 * @property revision the newest revision that the host is known to have applied.
 * @property heardAt when a new sign of life came in last, whether from the host itself or from another one.
 */
public data class Member(
    public val profile: HostProfile,
    public val key: HostKey,
    public val sequence: Long,
    public val revision: Revision,
    public val heardAt: MonotonicInstant,
    public val state: MemberState,
) {
    /** The newest sign of life that is known of the member. */
    public val heartbeat: GossipHeartbeat get() = GossipHeartbeat(key, sequence, revision, profile.leaving)
}
