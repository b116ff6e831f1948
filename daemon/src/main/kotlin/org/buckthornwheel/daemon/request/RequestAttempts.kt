package org.buckthornwheel.daemon.request

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import org.buckthornwheel.api.FailureCause
import org.buckthornwheel.api.GatewayFailure
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.api.Step
import org.buckthornwheel.daemon.configuration.EstateHolder
import org.buckthornwheel.daemon.observability.Part
import org.buckthornwheel.decision.attempt.Backoff
import org.buckthornwheel.decision.attempt.RetryBudget
import org.buckthornwheel.decision.attempt.RetryPolicy
import org.buckthornwheel.decision.membership.HostProfile
import org.buckthornwheel.decision.membership.Membership
import org.buckthornwheel.decision.routing.RendezvousHash
import org.buckthornwheel.decision.routing.RouteDecision
import org.buckthornwheel.decision.routing.Router
import kotlin.time.Duration.Companion.milliseconds

/** The rules by which attempts follow each other. */
internal class AttemptRules(val retries: RetryPolicy, val backoff: Backoff)

/** The rules of a host: three attempts, and retries for a fifth of the first attempts. */
internal fun attemptRules(): AttemptRules = AttemptRules(
    retries = RetryPolicy(maximumAttempts = 3, budget = RetryBudget(share = 0.2, capacity = 100.0)),
    backoff = Backoff(base = 20.milliseconds, maximum = 500.milliseconds),
)

/** Brings a request to an answer over as many attempts as the rules allow, each at another target or host. */
internal class RequestAttempts(
    private val estate: EstateHolder,
    private val router: Router,
    private val rules: AttemptRules,
    private val membership: Membership,
    private val meters: RequestMeters,
    private val clock: MonotonicClock,
) {
    /**
     * Runs [attempt] until one succeeds or the rules forbid another.
     *
     * The failure of the last one is told, but never as `not-run` if an earlier one may have been run.
     */
    suspend fun <Result> run(
        request: GatewayRequest,
        attempt: suspend (Destination) -> Either<GatewayFailure, Result>,
    ): Either<GatewayFailure, Result> {
        val history = AttemptHistory(request, estate, clock)
        rules.retries.recordFirstAttempt()
        while (true) {
            val destination = destination(history, request.deadline)
                .fold({ return history.conclude(history.lastFailure ?: it).left() }, { it })
            val result = attempt(destination)
            val failure = result.leftOrNull() ?: return result
            history.add(destination, failure)
            if (!isRepeated(request, history, failure)) return history.conclude(failure).left()
            meters.retries.increment()
            Part.REQUEST.info(
                "Request ${request.id} is sent once more after ${failure.peer} failed: ${failure.detail}.",
            )
            delay(rules.backoff.pause(history.attempts, history.seed))
        }
    }

    private fun isRepeated(request: GatewayRequest, history: AttemptHistory, failure: GatewayFailure): Boolean =
        rules.retries.allows(history.attempts, request.isIdempotent, failure, clock.now(), request.deadline)

    /** Where the next attempt goes; refused early where it could not begin before the deadline. */
    private fun destination(history: AttemptHistory, deadline: MonotonicInstant): Either<GatewayFailure, Destination> {
        val now = clock.now()
        return when (val decision = router.route(history.currentEstate, history.routeRequest(), now)) {
            is RouteDecision.Local ->
                if (now + decision.predictedWait > deadline) {
                    tooLate(decision).left()
                } else {
                    Destination.Target(decision.target).right()
                }

            is RouteDecision.Forward -> decision.zones.firstNotNullOfOrNull { zone ->
                hostOf(history, membership.usable(zone, now).map { it.profile })
            }?.right() ?: noTarget().left()

            is RouteDecision.NoPermittedTarget -> noTarget().left()
        }
    }

    private fun hostOf(history: AttemptHistory, hosts: List<HostProfile>): Destination.Host? {
        val untried = hosts.filter { it.name !in history.triedHosts }
        val chosen = RendezvousHash.order(history.requestId, untried) { it.name.value }.firstOrNull() ?: return null
        meters.forwarded.increment()
        return Destination.Host(chosen)
    }

    private fun tooLate(decision: RouteDecision.Local): GatewayFailure = GatewayFailure(
        step = Step.ADMIT,
        peer = decision.target.name.value,
        cause = FailureCause.OVERLOADED,
        detail = "the request would wait for longer than its deadline allows",
        outcome = Outcome.NOT_RUN,
        retryAfter = decision.predictedWait,
    )

    private fun noTarget(): GatewayFailure = GatewayFailure(
        step = Step.ROUTE,
        peer = null,
        cause = FailureCause.NO_PERMITTED_TARGET,
        detail = "no target that this request may use can be reached now",
        outcome = Outcome.NOT_RUN,
    )
}
