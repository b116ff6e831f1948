package org.buckthornwheel.forwarding.host

import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.decision.attempt.HedgeLimit
import org.buckthornwheel.decision.entry.EntryHostProfile
import org.buckthornwheel.decision.waiting.WaitingLimits
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
 * @property revocationBound time within which a removed account key must stop working on all hosts; null for none.
 * @property retrySettlingTime time after the start within which the host takes no part of [retryAllowance]; by default
 *   as long as retries of its former process count.
 * @property hedging extra work that the operator accepts to cut the slowest responses.
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
    public val revocationBound: Duration? = null,
    public val waiting: WaitingSettings = WaitingSettings(),
    public val machine: MachineLimits = MachineLimits(),
    public val hedging: HedgeLimit = HedgeLimit.NONE,
    public val retrySettlingTime: Duration = maxOf(settlingTime, retryWindow),
)

/** Whether requests that find no place wait in an order. */
public enum class WaitingOrder {
    /** They do if callers send on behalf of accounts, or if replicas report that they share their machines. */
    AUTOMATIC,

    /** They always do. */
    ORDERED,

    /** They look for a place at intervals, in no order, for an eighth of their target latency. */
    UNORDERED,
}

/** How requests wait for places; [limits] bounds the queue of each service. */
public data class WaitingSettings(
    public val order: WaitingOrder = WaitingOrder.AUTOMATIC,
    public val limits: WaitingLimits = WaitingLimits(),
)
