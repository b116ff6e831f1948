package org.buckthornwheel.forwarding.host

import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.decision.entry.EntryHostProfile
import org.buckthornwheel.forwarding.limits.MachineLimits
import kotlin.time.Duration

/**
 * Settings of an entry host.
 *
 * @property self this host's description of itself.
 * @property readinessAddress listen address of the readiness endpoint; null for none.
 * @property directoryAddress listen address of the directory endpoint for callers; null for none.
 * @property metricsAddress listen address of the metrics endpoint; null for none.
 * @property seedAddresses peer addresses of hosts to contact while no other host is known.
 * @property settlingTime time after the start within which the host and the other hosts get to know each other; it
 *   takes no part of the budgets that all hosts share until then.
 * @property eventLoops number of threads that process requests.
 * @property machine what the machine permits the process.
 */
public data class EntryHostSettings(
    public val self: EntryHostProfile,
    public val readinessAddress: NetworkAddress?,
    public val directoryAddress: NetworkAddress?,
    public val metricsAddress: NetworkAddress?,
    public val seedAddresses: List<NetworkAddress>,
    public val eventLoops: Int,
    public val retryRatio: Double,
    public val retryAllowance: Double,
    public val retryWindow: Duration,
    public val shutdownGrace: Duration,
    public val directoryTimeToLive: Duration,
    public val settlingTime: Duration,
    public val machine: MachineLimits = MachineLimits(),
)
