package org.buckthornwheel.daemon.request

import org.buckthornwheel.api.FailureCause
import org.buckthornwheel.api.GatewayFailure
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.api.TargetName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.api.estate.TargetItem
import org.buckthornwheel.daemon.configuration.EstateHolder
import org.buckthornwheel.decision.estate.Estate
import org.buckthornwheel.decision.membership.HostProfile
import org.buckthornwheel.decision.routing.Residency
import org.buckthornwheel.decision.routing.RouteRequest
import org.buckthornwheel.decision.routing.WorkName

/** Where an attempt goes. */
internal sealed interface Destination {
    /** To a target of the own zone. */
    class Target(val item: TargetItem) : Destination

    /** To a host of another zone. */
    class Host(val profile: HostProfile) : Destination
}

/** What the attempts of one request have tried, and what may be concluded from them together. */
internal class AttemptHistory(
    private val request: GatewayRequest,
    private val estate: EstateHolder,
    clock: MonotonicClock,
) {
    private val triedTargets = HashSet<TargetName>()
    private val triedZones = HashSet<ZoneName>()
    private var mayHaveRun = false
    private val prefixHash = if (request.work is RequestedWork.Completion) PromptPrefix.hash(request.body) else 0

    /** Source of the random choices of this request. */
    val seed: Long = request.id.hashCode().toLong() xor clock.now().nanoseconds

    /** The request's identifier as text. */
    val requestId: String = request.id.value

    /** Hosts that were tried. */
    val triedHosts: MutableSet<HostName> = HashSet()

    /** Attempts that were made. */
    var attempts: Int = 0
        private set

    /** How the last attempt failed; null before the first one. */
    var lastFailure: GatewayFailure? = null
        private set

    /** The estate that the next attempt goes by. */
    val currentEstate: Estate get() = estate.current()

    /** Takes in that the attempt at [destination] ended in [failure]. */
    fun add(destination: Destination, failure: GatewayFailure) {
        attempts += 1
        lastFailure = failure
        if (failure.outcome != Outcome.NOT_RUN) mayHaveRun = true
        when (destination) {
            is Destination.Target -> triedTargets += destination.item.name

            is Destination.Host -> {
                triedHosts += destination.profile.name
                if (failure.cause != FailureCause.UNREACHABLE) triedZones += destination.profile.zone
            }
        }
    }

    /** [failure] as the caller may be told it. */
    fun conclude(failure: GatewayFailure): GatewayFailure =
        if (mayHaveRun) failure.copy(outcome = Outcome.UNKNOWN) else failure

    /** What the router is asked for the next attempt; residency is read anew, and only ever narrower. */
    fun routeRequest(): RouteRequest {
        val current = currentEstate
        return RouteRequest(
            candidates = candidates(current),
            permittedRegions = Residency.narrow(request.scope.permittedRegions, current, request.account),
            mayForward = request.scope.hops == 0,
            excluded = triedTargets,
            work = workName(),
            prefixHash = prefixHash,
            visitedZones = request.scope.visitedZones + triedZones,
            bytes = request.body.size,
            seed = seed + attempts,
        )
    }

    private fun candidates(current: Estate): List<TargetItem> = when (val work = request.work) {
        is RequestedWork.Completion -> current.index.targetsOf(work.model)
        is RequestedWork.ServiceCall -> current.index.targetsOf(work.service)
    }

    private fun workName(): WorkName = when (val work = request.work) {
        is RequestedWork.Completion -> WorkName(work.model.value)
        is RequestedWork.ServiceCall -> WorkName(work.service.value)
    }
}
