package org.buckthornwheel.daemon.peer

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.request.header
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytes
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.ktor.server.sse.SSE
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import org.buckthornwheel.api.FailureCause
import org.buckthornwheel.api.GatewayFailure
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.api.RequestId
import org.buckthornwheel.api.Step
import org.buckthornwheel.daemon.caller.HttpResponder
import org.buckthornwheel.daemon.caller.RequestReader
import org.buckthornwheel.daemon.configuration.EstateHolder
import org.buckthornwheel.daemon.observability.Part
import org.buckthornwheel.daemon.request.FORWARD_PATH
import org.buckthornwheel.daemon.request.GatewayRequest
import org.buckthornwheel.daemon.request.RequestScope
import org.buckthornwheel.daemon.request.RequestService
import org.buckthornwheel.daemon.request.RequestsInFlight
import org.buckthornwheel.daemon.request.sha256
import org.buckthornwheel.protocol.caller.CallerHeaders
import org.buckthornwheel.protocol.peer.ForwardEnvelope
import org.buckthornwheel.protocol.peer.PeerCodec
import org.buckthornwheel.protocol.peer.PeerRequest
import org.buckthornwheel.protocol.peer.PeerResponse
import java.util.Base64
import kotlin.time.Duration.Companion.milliseconds

/** The HTTP routes for other hosts: forwarded requests of callers, and calls between hosts. */
internal class PeerRoutes(
    private val codec: PeerCodec,
    private val reader: RequestReader,
    private val service: RequestService,
    private val handler: PeerCallHandler,
    private val inFlight: RequestsInFlight,
    private val estate: EstateHolder,
    private val clock: MonotonicClock,
) {
    fun install(application: Application): Unit = with(application) {
        install(SSE)
        routing {
            post(FORWARD_PATH) { serveForwarded(call) }
            post(PEER_CALL_PATH) { handleCall(call) }
        }
    }

    private suspend fun handleCall(call: ApplicationCall) {
        val bytes = call.receiveChannel().readRemaining(MAXIMUM_CALL_BYTES).readByteArray()
        codec.decode<PeerRequest>(bytes).fold(
            ifLeft = { reason ->
                Part.PEER.warn("Rejected a call of another host because of its ${reason.name.lowercase()}.")
                call.respond(HttpStatusCode.BadRequest)
            },
            ifRight = { request ->
                val response: PeerResponse = handler.handle(request)
                call.respondBytes(codec.encode(response), ContentType.Application.Cbor)
            },
        )
    }

    private suspend fun serveForwarded(call: ApplicationCall): Unit = inFlight.count {
        val envelope = readEnvelope(call)
        val id = envelope.fold({ RequestId("unknown") }, { it.requestId })
        val hops = envelope.fold({ 0 }, { it.hops })
        val responder = HttpResponder(call, id, hops)
        either {
            val checked = envelope.bind()
            val body = inFlight.untilInterrupted(Step.READ_REQUEST, Outcome.NOT_RUN) { reader.readBody(call) }.bind()
            requestOf(checked, body).bind()
        }.fold(
            ifLeft = { responder.fail(it) },
            ifRight = { service.serve(it, responder) },
        )
    }

    private fun readEnvelope(call: ApplicationCall): Either<GatewayFailure, ForwardEnvelope> {
        val text = call.request.header(CallerHeaders.ENVELOPE) ?: return rejection("the request has no envelope").left()
        val bytes = try {
            Base64.getDecoder().decode(text)
        } catch (_: IllegalArgumentException) {
            return rejection("the envelope is not Base64").left()
        }
        return codec.decode<ForwardEnvelope>(bytes).fold(
            ifLeft = { rejection("the envelope was rejected because of its ${it.name.lowercase()}").left() },
            ifRight = { it.right() },
        )
    }

    private fun requestOf(envelope: ForwardEnvelope, body: ByteArray): Either<GatewayFailure, GatewayRequest> = either {
        ensure(envelope.hops <= MAXIMUM_HOPS) {
            rejection("the request was forwarded ${envelope.hops} times, above the hop limit")
        }
        ensure(sha256(body) == envelope.bodySha256) { rejection("the body does not match the hash in the envelope") }
        GatewayRequest(
            id = envelope.requestId,
            account = envelope.account,
            path = envelope.path,
            work = reader.workOf(estate.current(), envelope.path, envelope.reads, body).bind(),
            body = body,
            deadline = clock.now() + envelope.remainingMilliseconds.milliseconds,
            scope = RequestScope(envelope.hops, envelope.visitedZones, envelope.permittedRegions?.toSet()),
            idempotencyKey = envelope.idempotencyKey,
            firstAttempt = envelope.firstAttempt,
        )
    }

    private fun rejection(detail: String): GatewayFailure =
        GatewayFailure(Step.FORWARD, null, FailureCause.INVALID_REQUEST, detail, Outcome.NOT_RUN)

    private companion object {
        const val MAXIMUM_CALL_BYTES = 1_048_576L
        const val MAXIMUM_HOPS = 1
    }
}
