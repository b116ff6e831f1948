package org.buckthornwheel.daemon.request

import arrow.core.Either
import org.buckthornwheel.api.GatewayFailure
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.api.Step
import org.buckthornwheel.daemon.action.ActionService

/** Processes a request of a caller or of another host, from admission control to the response. */
internal class RequestService(
    private val attempts: RequestAttempts,
    private val streams: StreamRelay,
    private val dispatcher: TargetDispatcher,
    private val forwarder: PeerForwarder,
    private val actions: ActionService,
    private val gate: AdmissionGate,
    private val inFlight: RequestsInFlight,
) {
    /** Processes [request] and writes the response, or the failure, to [responder]. */
    suspend fun serve(request: GatewayRequest, responder: Responder) {
        if (inFlight.isClosed) return responder.fail(RequestsInFlight.refusalOf(request))
        gate.runIfAdmitted(request) { process(request, responder) }.onLeft { responder.fail(it) }
    }

    private suspend fun process(request: GatewayRequest, responder: Responder): Either<GatewayFailure, Unit> {
        val key = request.idempotencyKey
        return when {
            !request.isIdempotent && key != null -> respond(responder) { actions.run(request, key) }
            request.isStreamed -> streams.serve(request, responder)
            else -> respond(responder) { execute(request) }
        }
    }

    private suspend fun respond(
        responder: Responder,
        block: suspend () -> Either<GatewayFailure, BufferedResponse>,
    ): Either<GatewayFailure, Unit> = inFlight.untilInterrupted(Step.READ_ANSWER, Outcome.UNKNOWN, block).map {
        responder.respond(it)
    }

    private suspend fun execute(request: GatewayRequest): Either<GatewayFailure, BufferedResponse> =
        attempts.run(request) { destination ->
            when (destination) {
                is Destination.Target -> dispatcher.execute(destination.item, request)
                is Destination.Host -> forwarder.execute(destination.profile, request)
            }
        }
}
