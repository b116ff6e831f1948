package org.buckthornwheel.decision.routing

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.TargetName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.api.estate.TargetItem
import org.buckthornwheel.decision.estate.Estate
import kotlin.time.Duration

/** Decides where a request goes: to a target of the own zone, to a host of another zone, or nowhere. */
public interface Router {
    /** The decision for [request] at [now], under [estate]. */
    public fun route(estate: Estate, request: RouteRequest, now: MonotonicInstant): RouteDecision
}

/**
 * What the router has to know of a request.
 *
 * @property candidates targets that can serve it, before residency and health; a list of the estate's index.
 * @property permittedRegions regions that residency allows; null if all are.
 * @property mayForward false if the request has already crossed zones once.
 * @property excluded targets that earlier attempts of this request have used.
 * @property work what summaries of other zones call this kind of work; null keeps the request at home.
 * @property prefixHash hash of the prompt's beginning, by which caches are shared; 0 if there is none.
 * @property visitedZones zones that the request has passed or tried.
 * @property bytes size that crosses the link if the request is forwarded.
 * @property seed source of the choice's randomness, different for each request.
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

/** Where a request goes. */
public sealed interface RouteDecision {
    /** To [target] in the own zone, where it waits [predictedWait] for its turn. */
    public data class Local(public val target: TargetItem, public val predictedWait: Duration = Duration.ZERO) :
        RouteDecision

    /** To a host of one of [zones], best first. */
    public data class Forward(public val zones: List<ZoneName>) : RouteDecision

    /** Nowhere: no target that residency permits is usable. */
    public data object NoPermittedTarget : RouteDecision
}
