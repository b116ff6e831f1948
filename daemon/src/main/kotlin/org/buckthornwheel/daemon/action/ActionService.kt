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

/** Runs non-idempotent actions at most once: only in their home zone, and only after their key has been claimed. */
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
            request.scope.hops > 0 -> notSent(request, "this zone is not the action's home zone").left()
            else -> forward(home, action, request)
        }
    }

    /**
     * Returns the outcome that the other host reports. If the call did not reach it, only a first attempt is known
     * not to have run.
     */
    private suspend fun forward(
        home: ZoneName,
        action: ActionKey,
        request: GatewayRequest,
    ): Either<GatewayFailure, BufferedResponse> {
        val hosts = membership.usable(home, clock.now())
        val peer = RendezvousHash.order(action.toString(), hosts) { it.profile.name.value }.firstOrNull()
            ?: return notSent(request, "no host of the action's home zone $home can be reached").left()
        return forwarder.execute(peer.profile, request).mapLeft { failure ->
            val isUncertain = failure.cause in UNSENT_CAUSES && !request.firstAttempt
            if (isUncertain) failure.copy(outcome = Outcome.UNKNOWN) else failure
        }
    }

    /** Runs the action; the run continues if the caller disconnects, so that a retry gets its result. */
    private suspend fun runAtHome(
        request: GatewayRequest,
        action: ActionKey,
    ): Either<GatewayFailure, BufferedResponse> {
        val target = targetFor(request)
            ?: return notSent(request, "no target of the action's home zone can be reached").left()
        val attempt = AttemptRequest(action, sha256(request.body), request.firstAttempt, request.deadline)
        return scope.async {
            inFlight.count {
                val (verdict, port) = actions.run(attempt) { dispatch(target, request) }
                responseOf(verdict, port.response)
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
                    response = null,
                )
            },
            ifRight = { ActionRun(resultOf(it), it) },
        )

    private fun resultOf(response: BufferedResponse): ActionResult = ActionResult.Answered(
        status = response.status.value,
        contentType = response.contentType,
        bodyBase64 = Base64.getEncoder().encodeToString(response.body)
            .takeIf { response.body.size <= RECORDED_BODY_BYTES },
        target = response.origin.target,
    )

    private fun responseOf(
        verdict: AttemptVerdict,
        runResponse: BufferedResponse?,
    ): Either<GatewayFailure, BufferedResponse> = when (verdict) {
        is AttemptVerdict.Result -> runResponse?.right() ?: recordedResponse(verdict.result)
        is AttemptVerdict.Conflict -> failure(FailureCause.CONFLICT, KEY_REUSED, Outcome.UNKNOWN).left()
        is AttemptVerdict.NotRun -> failure(FailureCause.UNAVAILABLE, verdict.detail, Outcome.NOT_RUN).left()
        is AttemptVerdict.Unknown -> failure(FailureCause.UNAVAILABLE, verdict.detail, Outcome.UNKNOWN).left()
    }

    private fun recordedResponse(result: ActionResult): Either<GatewayFailure, BufferedResponse> = when (result) {
        is ActionResult.Answered -> decodedResponse(result)
        is ActionResult.NotRun -> failure(FailureCause.UNAVAILABLE, result.detail, Outcome.NOT_RUN).left()
        is ActionResult.Lost -> failure(FailureCause.UNAVAILABLE, result.detail, Outcome.UNKNOWN).left()
    }

    private fun decodedResponse(result: ActionResult.Answered): Either<GatewayFailure, BufferedResponse> {
        val body = result.bodyBase64
            ?: return failure(FailureCause.UNAVAILABLE, "the action ran; its response was too large", Outcome.UNKNOWN)
                .left()
        return BufferedResponse(
            origin = ResponseOrigin(result.target, hops = 0),
            status = HttpStatusCode.fromValue(result.status),
            contentType = result.contentType,
            body = Base64.getDecoder().decode(body),
        ).right()
    }

    /** The failure of an attempt that sent nothing; if it is not the first, an earlier one may have run elsewhere. */
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
        const val RECORDED_BODY_BYTES = 1_024
        const val KEY_REUSED = "the idempotency key was used with another body"
        val UNSENT_CAUSES = setOf(FailureCause.UNREACHABLE, FailureCause.INVALID_REQUEST)
    }
}
