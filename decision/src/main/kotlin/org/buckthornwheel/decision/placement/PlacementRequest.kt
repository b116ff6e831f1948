package org.buckthornwheel.decision.placement

import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.replica.PromptPart
import org.buckthornwheel.decision.replica.ReplicaId
import kotlin.time.Duration

/**
 * What the placement of a request depends on.
 *
 * @property promptTokens tokens of the prompt; 0 outside engines.
 * @property outputTokens most tokens that may be generated.
 * @property parts the prompt's parts in order; the last belongs to the request alone.
 * @property targetLatency time within which the answer should begin.
 * @property remaining time that is left for the request.
 * @property homeRegions the only regions that may serve it; empty if all may.
 * @property excluded replicas that already had it.
 * @property closedZones zones whose replicas get nothing.
 * @property mayForward whether another region may be chosen.
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
)
