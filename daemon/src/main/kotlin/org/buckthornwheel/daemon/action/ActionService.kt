package org.buckthornwheel.daemon.action

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import org.buckthornwheel.api.FailureCause
import org.buckthornwheel.api.GatewayFailure
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.api.Step
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.api.estate.TargetItem
import org.buckthornwheel.daemon.configuration.EstateHolder
import org.buckthornwheel.daemon.request.BufferedResponse
import org.buckthornwheel.daemon.request.GatewayRequest
import org.buckthornwheel.daemon.request.PeerForwarder
import org.buckthornwheel.daemon.request.RequestedWork
import org.buckthornwheel.daemon.request.RequestsInFlight
import org.buckthornwheel.daemon.request.ResponseOrigin
import org.buckthornwheel.daemon.request.TargetDispatcher
import org.buckthornwheel.daemon.request.sha256
import org.buckthornwheel.decision.ledger.ActionKey
import org.buckthornwheel.decision.ledger.ActionResult
import org.buckthornwheel.decision.ledger.AttemptRequest
import org.buckthornwheel.decision.ledger.AttemptVerdict
import org.buckthornwheel.decision.ledger.HomeZone
import org.buckthornwheel.decision.membership.Membership
import org.buckthornwheel.decision.routing.RendezvousHash
import org.buckthornwheel.decision.routing.RouteDecision
import org.buckthornwheel.decision.routing.RouteRequest
import org.buckthornwheel.decision.routing.Router
import java.util.Base64

/** Runs non-idempotent actions at most once: only in their home zone, and only after their key was claimed. */
internal class ActionService(
    private val actions: ActionZone,
    private val estate: EstateHolder,
    private val router: Router,
    private val membership: Membership,
    private val dispatcher: TargetDispatcher,
    private val forwarder: PeerForwarder,
    private val inFlight: RequestsInFlight,
    private val clock: MonotonicClock,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    suspend fun run(request: GatewayRequest, key: String): Either<GatewayFailure, BufferedResponse> {
        val action = ActionKey(request.account, key)
        val work = request.work as RequestedWork.ServiceCall
        val home = HomeZone.of(estate.current(), request.account, work.service, action)
        return when {
            home == null -> notSent(request, "no zone may run this action", FailureCause.NO_PERMITTED_TARGET).left()
            home == actions.zone -> runAtHome(request, action)
            request.scope.hops > 0 -> notSent(request, "this zone is not the action's home").left()
            else -> forward(home, action, request)
        }
    }

    /** The other host's word is passed on; of a call that never reached it only a first attempt is certain. */
    private suspend fun forward(
        home: ZoneName,
        action: ActionKey,
        request: GatewayRequest,
    ): Either<GatewayFailure, BufferedResponse> {
        val hosts = membership.usable(home, clock.now())
        val peer = RendezvousHash.order(action.toString(), hosts) { it.profile.name.value }.firstOrNull()
            ?: return notSent(request, "no host of the action's home zone $home can be reached").left()
        return forwarder.execute(peer.profile, request).mapLeft { failure ->
            val unsent = failure.cause in UNSENT && !request.firstAttempt
            if (unsent) failure.copy(outcome = Outcome.UNKNOWN) else failure
        }
    }

    /** The run goes on if the caller hangs up, so that its result is known to a repeat. */
    private suspend fun runAtHome(
        request: GatewayRequest,
        action: ActionKey,
    ): Either<GatewayFailure, BufferedResponse> {
        val target = targetFor(request)
            ?: return notSent(request, "no target of the action's home zone can be reached").left()
        val order = AttemptRequest(action, sha256(request.body), request.firstAttempt, request.deadline)
        return scope.async {
            inFlight.count {
                val (verdict, port) = actions.run(order) { dispatch(target, request) }
                answerOf(verdict, port.answer)
            }
        }.await()
    }

    private fun targetFor(request: GatewayRequest): TargetItem? {
        val current = estate.current()
        val work = request.work as RequestedWork.ServiceCall
        val candidates = current.index.targetsOf(work.service)
        val route = RouteRequest(candidates, request.scope.permittedRegions, mayForward = false)
        return (router.route(current, route, clock.now()) as? RouteDecision.Local)?.target
    }

    private suspend fun dispatch(target: TargetItem, request: GatewayRequest): ActionRun =
        dispatcher.execute(target, request).fold(
            ifLeft = { failure ->
                val notRun = failure.outcome == Outcome.NOT_RUN
                ActionRun(
                    if (notRun) ActionResult.NotRun(failure.detail) else ActionResult.Lost(failure.detail),
                    answer = null,
                )
            },
            ifRight = { ActionRun(resultOf(it), it) },
        )

    private fun resultOf(answer: BufferedResponse): ActionResult = ActionResult.Answered(
        status = answer.status.value,
        contentType = answer.contentType,
        bodyBase64 = Base64.getEncoder().encodeToString(answer.body).takeIf { answer.body.size <= KEPT_BODY_BYTES },
        target = answer.origin.target,
    )

    private fun answerOf(verdict: AttemptVerdict, fresh: BufferedResponse?): Either<GatewayFailure, BufferedResponse> =
        when (verdict) {
            is AttemptVerdict.Result -> fresh?.right() ?: remembered(verdict.result)
            is AttemptVerdict.Conflict -> failure(FailureCause.CONFLICT, REUSED, Outcome.UNKNOWN).left()
            is AttemptVerdict.NotRun -> failure(FailureCause.UNAVAILABLE, verdict.detail, Outcome.NOT_RUN).left()
            is AttemptVerdict.Unknown -> failure(FailureCause.UNAVAILABLE, verdict.detail, Outcome.UNKNOWN).left()
        }

    private fun remembered(result: ActionResult): Either<GatewayFailure, BufferedResponse> = when (result) {
        is ActionResult.Answered -> kept(result)
        is ActionResult.NotRun -> failure(FailureCause.UNAVAILABLE, result.detail, Outcome.NOT_RUN).left()
        is ActionResult.Lost -> failure(FailureCause.UNAVAILABLE, result.detail, Outcome.UNKNOWN).left()
    }

    private fun kept(result: ActionResult.Answered): Either<GatewayFailure, BufferedResponse> {
        val body = result.bodyBase64
            ?: return failure(FailureCause.UNAVAILABLE, "the action was run; its answer was too large", Outcome.UNKNOWN)
                .left()
        return BufferedResponse(
            origin = ResponseOrigin(result.target, hops = 0),
            status = HttpStatusCode.fromValue(result.status),
            contentType = result.contentType,
            body = Base64.getDecoder().decode(body),
        ).right()
    }

    /** Nothing was sent by this attempt; an earlier one may have gone elsewhere, unless this is the first. */
    private fun notSent(
        request: GatewayRequest,
        detail: String,
        cause: FailureCause = FailureCause.UNAVAILABLE,
    ): GatewayFailure {
        val outcome = if (request.firstAttempt) Outcome.NOT_RUN else Outcome.UNKNOWN
        return GatewayFailure(Step.ROUTE, null, cause, detail, outcome)
    }

    private fun failure(cause: FailureCause, detail: String, outcome: Outcome): GatewayFailure =
        GatewayFailure(Step.CLAIM, null, cause, detail, outcome)

    private companion object {
        const val KEPT_BODY_BYTES = 1_024
        const val REUSED = "the idempotency key was used with another body"
        val UNSENT = setOf(FailureCause.UNREACHABLE, FailureCause.INVALID_REQUEST)
    }
}
