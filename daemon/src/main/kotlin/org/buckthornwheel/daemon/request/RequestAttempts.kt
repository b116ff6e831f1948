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

/** When a request is retried and how long to wait before each retry. */
internal class AttemptRules(val retries: RetryPolicy, val backoff: Backoff)

/** The rules of a host: at most three attempts a request, and a retry budget of a fifth of the first attempts. */
internal fun attemptRules(): AttemptRules = AttemptRules(
    retries = RetryPolicy(maximumAttempts = 3, budget = RetryBudget(share = 0.2, capacity = 100.0)),
    backoff = Backoff(base = 20.milliseconds, maximum = 500.milliseconds),
)

/** Runs the attempts of a request, as many as the rules allow, each at a target or host that was not tried before. */
internal class RequestAttempts(
    private val estate: EstateHolder,
    private val router: Router,
    private val rules: AttemptRules,
    private val membership: Membership,
    private val meters: RequestMeters,
    private val clock: MonotonicClock,
) {
    /**
     * Runs [attempt] until one succeeds or the rules forbid another retry.
     *
     * Returns the failure of the last attempt, but never with outcome `not-run` if an earlier attempt may have been
     * executed.
     */
    suspend fun <Result> run(
        request: GatewayRequest,
        attempt: suspend (Destination) -> Either<GatewayFailure, Result>,
    ): Either<GatewayFailure, Result> {
        val history = AttemptHistory(request, estate, clock)
        rules.retries.recordFirstAttempt()
        while (true) {
            val destination = nextDestination(history, request.deadline)
                .fold({ return history.withOverallOutcome(history.lastFailure ?: it).left() }, { it })
            val result = attempt(destination)
            val failure = result.leftOrNull() ?: return result
            history.add(destination, failure)
            if (!mayRetry(request, history, failure)) return history.withOverallOutcome(failure).left()
            meters.retries.increment()
            Part.REQUEST.info(
                "Retrying request ${request.id} after ${failure.peer} failed: ${failure.detail}.",
            )
            delay(rules.backoff.pause(history.attempts, history.seed))
        }
    }

    private fun mayRetry(request: GatewayRequest, history: AttemptHistory, failure: GatewayFailure): Boolean =
        rules.retries.allows(history.attempts, request.isIdempotent, failure, clock.now(), request.deadline)

    /** Chooses the destination of the next attempt; fails at once if the predicted wait exceeds the deadline. */
    private fun nextDestination(
        history: AttemptHistory,
        deadline: MonotonicInstant,
    ): Either<GatewayFailure, Destination> {
        val now = clock.now()
        return when (val decision = router.route(history.currentEstate, history.routeRequest(), now)) {
            is RouteDecision.Local ->
                if (now + decision.predictedWait > deadline) {
                    waitExceedsDeadline(decision).left()
                } else {
                    Destination.Target(decision.target).right()
                }

            is RouteDecision.Forward -> decision.zones.firstNotNullOfOrNull { zone ->
                untriedHost(history, membership.usable(zone, now).map { it.profile })
            }?.right() ?: noPermittedTarget().left()

            is RouteDecision.NoPermittedTarget -> noPermittedTarget().left()
        }
    }

    private fun untriedHost(history: AttemptHistory, hosts: List<HostProfile>): Destination.Host? {
        val untried = hosts.filter { it.name !in history.triedHosts }
        val chosen = RendezvousHash.order(history.requestId, untried) { it.name.value }.firstOrNull() ?: return null
        meters.forwarded.increment()
        return Destination.Host(chosen)
    }

    private fun waitExceedsDeadline(decision: RouteDecision.Local): GatewayFailure = GatewayFailure(
        step = Step.ADMIT,
        peer = decision.target.name.value,
        cause = FailureCause.OVERLOADED,
        detail = "the predicted wait exceeds the deadline of the request",
        outcome = Outcome.NOT_RUN,
        retryAfter = decision.predictedWait,
    )

    private fun noPermittedTarget(): GatewayFailure = GatewayFailure(
        step = Step.ROUTE,
        peer = null,
        cause = FailureCause.NO_PERMITTED_TARGET,
        detail = "no target that this request may use is reachable",
        outcome = Outcome.NOT_RUN,
    )
}
