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

/** The destination of an attempt. */
internal sealed interface Destination {
    /** A target of the local zone. */
    class Target(val item: TargetItem) : Destination

    /** A host of another zone. */
    class Host(val profile: HostProfile) : Destination
}

/** The attempts of one request so far: tried targets, hosts and zones, and their combined outcome. */
internal class AttemptHistory(
    private val request: GatewayRequest,
    private val estate: EstateHolder,
    clock: MonotonicClock,
) {
    private val triedTargets = HashSet<TargetName>()
    private val triedZones = HashSet<ZoneName>()
    private var mayHaveRun = false
    private val prefixHash = if (request.work is RequestedWork.Completion) PromptPrefix.hash(request.body) else 0

    /** Seed of the random choices for this request. */
    val seed: Long = request.id.hashCode().toLong() xor clock.now().nanoseconds

    /** The request's identifier as text. */
    val requestId: String = request.id.value

    /** Hosts that were tried already. */
    val triedHosts: MutableSet<HostName> = HashSet()

    /** Number of failed attempts so far. */
    var attempts: Int = 0
        private set

    /** The failure of the last attempt; null before the first one. */
    var lastFailure: GatewayFailure? = null
        private set

    /** The current estate, which applies to the next attempt. */
    val currentEstate: Estate get() = estate.current()

    /** Records that the attempt at [destination] ended in [failure]. */
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

    /** [failure] as it is reported to the caller: outcome unknown if any attempt may have been executed. */
    fun withOverallOutcome(failure: GatewayFailure): GatewayFailure =
        if (mayHaveRun) failure.copy(outcome = Outcome.UNKNOWN) else failure

    /**
     * The routing request for the next attempt.
     *
     * The residency rule is read again each time and can only narrow the permitted regions.
     */
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
