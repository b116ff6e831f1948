package org.buckthornwheel.decision.membership

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.ZoneName

/** The identity and addresses of a host, as reported by the host itself. */
public data class HostProfile(
    public val name: HostName,
    public val incarnation: Incarnation,
    public val region: RegionName,
    public val zone: ZoneName,
    public val callerAddress: NetworkAddress,
    public val peerAddress: NetworkAddress,
    public val leaving: Boolean,
)

/** The liveness state of a host, as estimated by another host. */
public enum class MemberState {
    /** A heartbeat arrived recently. */
    ALIVE,

    /** No heartbeat for some time; the host is given no new work. */
    SUSPECTED,

    /** The host has announced that it is stopping. */
    LEAVING,

    /** No heartbeat for so long that the host is assumed to be dead. */
    GONE,
}

/**
 * A known host: its newest profile and heartbeat, and its state at the time of the snapshot.
 *
 * @property revision the newest revision that the host is known to have applied.
 * @property heardAt when the last new heartbeat arrived, from the host itself or through another host.
 */
public data class Member(
    public val profile: HostProfile,
    public val key: HostKey,
    public val sequence: Long,
    public val revision: Revision,
    public val heardAt: MonotonicInstant,
    public val state: MemberState,
) {
    /** The newest known heartbeat of the member. */
    public val heartbeat: GossipHeartbeat get() = GossipHeartbeat(key, sequence, revision, profile.leaving)
}
