package org.buckthornwheel.decision.entry

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName

/**
 * One incarnation of an entry host, as described by the host itself.
 *
 * @property callerAddress address to which callers connect.
 * @property peerAddress address to which other hosts connect and send heartbeats.
 * @property cores processor cores that the host may use.
 */
public data class EntryHostProfile(
    public val name: HostName,
    public val incarnation: Incarnation,
    public val zone: ZoneName,
    public val region: RegionName,
    public val callerAddress: NetworkAddress,
    public val peerAddress: NetworkAddress,
    public val cores: Double,
)
