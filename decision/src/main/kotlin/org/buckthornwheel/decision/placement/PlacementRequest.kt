package org.buckthornwheel.decision.placement

import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.replica.PromptPart
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.decision.replica.SoftwareVersion
import kotlin.time.Duration

/**
 * Properties of a request that its placement depends on.
 *
 * @property promptTokens number of tokens of the prompt; 0 if the service is not an engine.
 * @property outputTokens maximum number of tokens to generate.
 * @property parts parts of the prompt in order; the last one is not shared with other requests.
 * @property targetLatency time within which the response should start.
 * @property remaining time until the deadline of the request.
 * @property homeRegions the only regions that may serve it; empty if all regions may.
 * @property excluded replicas that earlier attempts of this request have used.
 * @property closedZones zones whose replicas get no requests.
 * @property mayForward whether another region may be chosen.
 * @property queueTarget shortest target latency among requests of the service that are at least as urgent; limits the
 *   queues at replicas that it may join.
 * @property limited replicas that work, but take no more requests at this moment.
 * @property version the only software version that may serve it, at replicas whose run is certain; null if all may.
 * @property isUrgent whether it may join longer queues and is assumed not to be preempted.
 */
public data class PlacementRequest(
    public val service: ServiceName,
    public val promptTokens: Int,
    public val outputTokens: Int,
    public val parts: List<PromptPart>,
    public val priority: Int,
    public val targetLatency: Duration,
    public val remaining: Duration,
    public val homeRegions: Set<RegionName>,
    public val excluded: Set<ReplicaId>,
    public val closedZones: Set<ZoneName>,
    public val mayForward: Boolean,
    public val isUrgent: Boolean,
    public val queueTarget: Duration = targetLatency,
    public val limited: Set<ReplicaId> = emptySet(),
    public val version: SoftwareVersion? = null,
)
