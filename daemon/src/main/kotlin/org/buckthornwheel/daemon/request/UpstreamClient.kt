package org.buckthornwheel.daemon.request

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.plugins.sse.SSEClientException
import io.ktor.client.plugins.sse.sse
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.prepareRequest
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpHeaders
import io.ktor.http.isSuccess
import io.ktor.sse.ServerSentEvent
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.catch
import kotlinx.coroutines.flow.produceIn
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray
import org.buckthornwheel.api.GatewayFailure
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RequestId
import org.buckthornwheel.api.Step
import org.buckthornwheel.protocol.caller.CallerHeaders
import kotlin.time.Duration

/** Times and sizes that bound one exchange. */
internal data class UpstreamLimits(val firstByte: Duration, val betweenChunks: Duration, val responseBytes: Int)

/** The other side of an exchange: a target or another host. */
internal data class Upstream(val name: String, val step: Step)

/**
 * One exchange that is asked for.
 *
 * @property id the request's identifier, which an answer that carries one has to carry.
 * @property patience how long a whole answer may take.
 * @property deadline when the caller stops waiting.
 */
internal class UpstreamRequest(
    val peer: Upstream,
    val id: RequestId,
    val timeout: Duration,
    val deadline: MonotonicInstant,
    val build: HttpRequestBuilder.() -> Unit,
)

/**
 * HTTP exchanges with targets or other hosts; every way one can end becomes a value.
 *
 * The client's engine opens a connection for each exchange, so a connection that has gone silent takes no other
 * request with it, and whatever follows goes over a new one.
 */
internal class UpstreamClient(
    private val client: HttpClient,
    private val limits: UpstreamLimits,
    private val meters: RequestMeters,
    private val clock: MonotonicClock,
) {
    private val failures = UpstreamFailures()

    /** Sends [request] and reads the answer to its end. */
    suspend fun execute(request: UpstreamRequest): Either<GatewayFailure, BufferedResponse> = guarded(request.peer) {
        withTimeout(minOf(request.timeout, request.deadline - clock.now())) {
            client.prepareRequest(request.build).execute { response -> readWhole(request, response) }
        }
    }

    /**
     * Sends [request] and hands the data of each event of the answer to [consume], the end mark included.
     *
     * A right value says that the end mark came; anything else, at any point, is a failure.
     */
    suspend fun stream(
        request: UpstreamRequest,
        consume: suspend (ResponseOrigin, String) -> EventVerdict,
    ): Either<GatewayFailure, Unit> = guarded(request.peer) {
        var end: Either<GatewayFailure, Unit> = Unit.right()
        client.sse(request.build) {
            val crossed = crossed(request, call.response)
            end = crossed?.left() ?: relay(request, originOf(request.peer, call.response), incomingChannel(), consume)
        }
        end
    }

    /** The events as a channel that ends where the connection does: its failure must not cancel the reader. */
    private fun io.ktor.client.plugins.sse.ClientSSESession.incomingChannel(): ReceiveChannel<ServerSentEvent> =
        events(incoming).produceIn(this)

    private fun events(incoming: Flow<ServerSentEvent>): Flow<ServerSentEvent> = incoming.catch { }

    private suspend fun relay(
        request: UpstreamRequest,
        origin: ResponseOrigin,
        events: ReceiveChannel<ServerSentEvent>,
        consume: suspend (ResponseOrigin, String) -> EventVerdict,
    ): Either<GatewayFailure, Unit> {
        var timeout = limits.firstByte
        try {
            while (true) {
                val data = nextData(request, events, timeout).fold({ return it.left() }, { it })
                if (consume(origin, data) == EventVerdict.FAILED) return failures.engine(request.peer).left()
                if (data == END_OF_STREAM) return Unit.right()
                timeout = limits.betweenChunks
            }
        } finally {
            events.cancel()
        }
    }

    private suspend fun nextData(
        request: UpstreamRequest,
        events: ReceiveChannel<ServerSentEvent>,
        timeout: Duration,
    ): Either<GatewayFailure, String> {
        val left = request.deadline - clock.now()
        val received = withTimeoutOrNull(minOf(timeout, left)) { Received(events.receiveCatching().getOrNull()) }
        val event = received?.event
        return when {
            received == null && left <= timeout -> failures.late(request.peer).left()
            received == null -> failures.silent(request.peer).left()
            event == null -> failures.broken(request.peer, "the stream broke").left()
            event.event == ERROR_EVENT -> failures.told(request.peer, event.data).left()
            else -> event.data?.right() ?: nextData(request, events, timeout)
        }
    }

    private suspend fun readWhole(
        request: UpstreamRequest,
        response: HttpResponse,
    ): Either<GatewayFailure, BufferedResponse> {
        val peer = request.peer
        (crossed(request, response) ?: failures.refusal(peer, response))?.let { return it.left() }
        val bytes = response.bodyAsChannel().readRemaining(limits.responseBytes + 1L).readByteArray()
        if (bytes.size > limits.responseBytes) {
            return failures.broken(peer, "the answer exceeds ${limits.responseBytes} bytes").left()
        }
        val type = response.headers[HttpHeaders.ContentType]
        return BufferedResponse(originOf(peer, response), response.status, type, bytes).right()
    }

    private fun crossed(request: UpstreamRequest, response: HttpResponse): GatewayFailure? {
        val carried = response.headers[CallerHeaders.REQUEST_ID] ?: return null
        if (carried == request.id.value) return null
        meters.mismatchedResponses.increment()
        return failures.broken(request.peer, "the answer belongs to another request")
    }

    private fun originOf(peer: Upstream, response: HttpResponse): ResponseOrigin = ResponseOrigin(
        target = response.headers[CallerHeaders.TARGET] ?: peer.name,
        hops = response.headers[CallerHeaders.HOPS]?.toIntOrNull() ?: 0,
    )

    private suspend fun <Result> guarded(
        peer: Upstream,
        block: suspend () -> Either<GatewayFailure, Result>,
    ): Either<GatewayFailure, Result> = try {
        block()
    } catch (refused: SSEClientException) {
        val response = refused.response?.takeIf { !it.status.isSuccess() }
        (response?.let { failures.refusal(peer, it) } ?: failures.unsent(peer, refused)).left()
    } catch (_: TimeoutCancellationException) {
        failures.silent(peer).left()
    } catch (cancelled: CancellationException) {
        // The library cancels what waits on a connection that has ended; only our own cancellation goes on.
        currentCoroutineContext().ensureActive()
        failures.unsent(peer, cancelled).left()
    } catch (failure: Exception) {
        failures.unsent(peer, failure).left()
    }

    private class Received(val event: ServerSentEvent?)

    companion object {
        /** Data of the event that ends a whole stream. */
        const val END_OF_STREAM: String = "[DONE]"

        /** Name of the event by which another host says that its stream has failed. */
        const val ERROR_EVENT: String = "error"
    }
}
