package org.buckthornwheel.decision.entry

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName

/**
 * One run of an entry host, as it describes itself.
 *
 * @property callerAddress where callers connect.
 * @property peerAddress where other hosts connect and send heartbeats.
 * @property cores processor that the host may use, in cores.
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
