package org.buckthornwheel.forwarding.exchange

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.decision.manifest.ManifestVersion
import org.buckthornwheel.decision.manifest.RouteKind
import kotlin.time.Duration

/**
 * The terms under which one request is served: its route as the manifest had it when the request arrived.
 *
 * @property routeName the route, for logs.
 * @property version the manifest that the route comes from.
 * @property end the instant at which the caller or the route gives up.
 * @property mayForward whether the request may go on to another region; false for one that came from there.
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
) {
    val isStreaming: Boolean get() = kind == RouteKind.STREAMING

    val isRetryable: Boolean
        get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && isResumable)
}
