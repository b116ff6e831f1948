package org.buckthornwheel.forwarding.host

import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.decision.entry.EntryHost
import kotlin.time.Duration

/**
 * What a host needs to know before it starts.
 *
 * @property self the host as it describes itself.
 * @property readinessAddress where its readiness is asked for; null if it is not.
 * @property directoryAddress where callers ask for hosts; null if they do not ask here.
 * @property metricsAddress where metrics are read; null for none.
 * @property bootstrapPeers peer addresses of hosts to try while none is known.
 * @property eventLoops threads that carry requests.
 */
public data class EntryHostSettings(
    public val self: EntryHost,
    public val readinessAddress: NetworkAddress?,
    public val directoryAddress: NetworkAddress?,
    public val metricsAddress: NetworkAddress?,
    public val bootstrapPeers: List<NetworkAddress>,
    public val eventLoops: Int,
    public val retryRatio: Double,
    public val retryAllowance: Double,
    public val retryWindow: Duration,
    public val shutdownGrace: Duration,
    public val directoryTimeToLive: Duration,
)
