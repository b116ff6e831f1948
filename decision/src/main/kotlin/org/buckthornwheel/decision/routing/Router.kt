package org.buckthornwheel.decision.routing

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.TargetName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.api.estate.TargetItem
import org.buckthornwheel.decision.estate.Estate
import kotlin.time.Duration

/** Routes a request to a target of the local zone or to a host of another zone. */
public interface Router {
    /** The decision for [request] at [now] under [estate]. */
    public fun route(estate: Estate, request: RouteRequest, now: MonotonicInstant): RouteDecision
}

/**
 * Properties of a request that its routing depends on.
 *
 * @property candidates targets that can serve it, regardless of residency and health; a list of the estate's index.
 * @property permittedRegions regions that residency allows; null if all are allowed.
 * @property mayForward whether another zone may be chosen; false if the request was already forwarded once.
 * @property excluded targets that earlier attempts of this request have used.
 * @property work model or service under which the load summaries of other zones count it; null prevents overflow.
 * @property prefixHash hash of the prompt's prefix, used to reuse prefix caches; 0 if there is none.
 * @property visitedZones zones that the request came through or that earlier attempts have used.
 * @property bytes number of bytes sent over the link if the request is forwarded.
 * @property seed source of randomness for the choice, different for each request.
 */
public data class RouteRequest(
    public val candidates: List<TargetItem>,
    public val permittedRegions: Set<RegionName>?,
    public val mayForward: Boolean,
    public val excluded: Set<TargetName> = emptySet(),
    public val work: WorkName? = null,
    public val prefixHash: Long = 0,
    public val visitedZones: Collection<ZoneName> = emptyList(),
    public val bytes: Int = 0,
    public val seed: Long = 0,
)

/** Result of the routing of a request. */
public sealed interface RouteDecision {
    /** The request is sent to [target] in the local zone, where it is expected to queue for [predictedWait]. */
    public data class Local(public val target: TargetItem, public val predictedWait: Duration = Duration.ZERO) :
        RouteDecision

    /** The request is forwarded to a host of one of [zones], best first. */
    public data class Forward(public val zones: List<ZoneName>) : RouteDecision

    /** No target that residency permits is usable. */
    public data object NoPermittedTarget : RouteDecision
}
