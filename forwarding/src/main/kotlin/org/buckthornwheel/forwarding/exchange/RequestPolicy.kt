package org.buckthornwheel.forwarding.exchange

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.decision.manifest.ManifestVersion
import org.buckthornwheel.decision.manifest.RouteKind
import org.buckthornwheel.decision.replica.SoftwareVersion
import kotlin.time.Duration

/**
 * The policy by which one request is served: its route in the manifest that was in force when the request arrived.
 *
 * @property routeName name of the route, for logs.
 * @property version version of the manifest that defines the route.
 * @property deadline the earlier of the caller's deadline and the time limit of the route.
 * @property account the client account of the caller; null if the manifest declares none or the route needs none.
 * @property hasAccounts whether the manifest declares client accounts, so that keys and account names in the caller's
 *   headers are not for the replica. Without accounts, they are headers like any others.
 * @property mayForward whether the request may be forwarded to another region; false if it came from another region.
 * @property softwareVersion the only software version that may serve a forwarded request; null if the host that
 *   accepted it named none.
 * @property origin the host that forwarded the request; null if it came from a caller or from a host of an earlier
 *   build.
 */
internal data class RequestPolicy(
    val routeName: String,
    val version: ManifestVersion,
    val service: ServiceName,
    val kind: RouteKind,
    val isResumable: Boolean,
    val priority: Int,
    val targetLatency: Duration,
    val maximumAttempts: Int,
    val homeRegions: Set<RegionName>,
    val arrivedAt: MonotonicInstant,
    val deadline: MonotonicInstant,
    val mayForward: Boolean,
    val account: AccountName? = null,
    val hasAccounts: Boolean = account != null,
    val origin: HostName? = null,
    val softwareVersion: SoftwareVersion? = null,
) {
    val isStreaming: Boolean get() = kind == RouteKind.STREAMING

    val isRetryable: Boolean
        get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && isResumable)
}
