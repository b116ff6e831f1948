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

/** Time and size limits of one upstream request. */
internal data class UpstreamLimits(val firstByte: Duration, val betweenChunks: Duration, val responseBytes: Int)

/** The receiver of an upstream request, a target or another host, and the step at which its failures are reported. */
internal data class Upstream(val name: String, val step: Step)

/**
 * A request to send to a target or another host.
 *
 * @property id identifier of the request; a response that carries another identifier is rejected.
 * @property timeout longest time until a complete response has been read; not used for streams.
 * @property deadline when the caller stops waiting.
 * @property build sets method, URL, headers and body.
 */
internal class UpstreamRequest(
    val peer: Upstream,
    val id: RequestId,
    val timeout: Duration,
    val deadline: MonotonicInstant,
    val build: HttpRequestBuilder.() -> Unit,
)

/**
 * HTTP client for targets and other hosts; returns every failure as a value.
 *
 * The engine of [client] opens a new connection for each request, so a connection that no longer delivers data affects
 * only its own request, and a retry uses a new connection.
 */
internal class UpstreamClient(
    private val client: HttpClient,
    private val limits: UpstreamLimits,
    private val meters: RequestMeters,
    private val clock: MonotonicClock,
) {
    private val failures = UpstreamFailures()

    /** Sends [request] and reads the complete response. */
    suspend fun execute(request: UpstreamRequest): Either<GatewayFailure, BufferedResponse> =
        catchingFailures(request.peer) {
            withTimeout(minOf(request.timeout, request.deadline - clock.now())) {
                client.prepareRequest(request.build).execute { response -> readBuffered(request, response) }
            }
        }

    /**
     * Sends [request] and calls [consume] with the data of each event of the response, [END_OF_STREAM] included.
     *
     * Succeeds only if [END_OF_STREAM] was received; a stream that ends in any other way is a failure.
     */
    suspend fun stream(
        request: UpstreamRequest,
        consume: suspend (ResponseOrigin, String) -> EventVerdict,
    ): Either<GatewayFailure, Unit> = catchingFailures(request.peer) {
        var end: Either<GatewayFailure, Unit> = Unit.right()
        client.sse(request.build) {
            val mismatch = requestIdMismatch(request, call.response)
            end = mismatch?.left() ?: relay(request, originOf(request.peer, call.response), incomingChannel(), consume)
        }
        end
    }

    /** The events as a channel that is closed when the connection fails; the failure must not cancel the receiver. */
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
                if (consume(origin, data) == EventVerdict.FAILED) return failures.engineError(request.peer).left()
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
            received == null && left <= timeout -> failures.deadlineExceeded(request.peer).left()
            received == null -> failures.timedOut(request.peer).left()
            event == null -> failures.brokenResponse(request.peer, "the stream ended early").left()
            event.event == ERROR_EVENT -> failures.reportedByHost(request.peer, event.data).left()
            else -> event.data?.right() ?: nextData(request, events, timeout)
        }
    }

    private suspend fun readBuffered(
        request: UpstreamRequest,
        response: HttpResponse,
    ): Either<GatewayFailure, BufferedResponse> {
        val peer = request.peer
        (requestIdMismatch(request, response) ?: failures.rejection(peer, response))?.let { return it.left() }
        val bytes = response.bodyAsChannel().readRemaining(limits.responseBytes + 1L).readByteArray()
        if (bytes.size > limits.responseBytes) {
            return failures.brokenResponse(peer, "the response exceeds ${limits.responseBytes} bytes").left()
        }
        val type = response.headers[HttpHeaders.ContentType]
        return BufferedResponse(originOf(peer, response), response.status, type, bytes).right()
    }

    private fun requestIdMismatch(request: UpstreamRequest, response: HttpResponse): GatewayFailure? {
        val responseId = response.headers[CallerHeaders.REQUEST_ID] ?: return null
        if (responseId == request.id.value) return null
        meters.mismatchedResponses.increment()
        return failures.brokenResponse(request.peer, "the response belongs to another request")
    }

    private fun originOf(peer: Upstream, response: HttpResponse): ResponseOrigin = ResponseOrigin(
        target = response.headers[CallerHeaders.TARGET] ?: peer.name,
        hops = response.headers[CallerHeaders.HOPS]?.toIntOrNull() ?: 0,
    )

    private suspend fun <Result> catchingFailures(
        peer: Upstream,
        block: suspend () -> Either<GatewayFailure, Result>,
    ): Either<GatewayFailure, Result> = try {
        block()
    } catch (rejected: SSEClientException) {
        val response = rejected.response?.takeIf { !it.status.isSuccess() }
        (response?.let { failures.rejection(peer, it) } ?: failures.transportError(peer, rejected)).left()
    } catch (_: TimeoutCancellationException) {
        failures.timedOut(peer).left()
    } catch (cancelled: CancellationException) {
        // Ktor cancels the coroutines waiting on a connection that has ended; only our own cancellation is rethrown.
        currentCoroutineContext().ensureActive()
        failures.transportError(peer, cancelled).left()
    } catch (failure: Exception) {
        failures.transportError(peer, failure).left()
    }

    /** Distinguishes a closed channel, without an event, from a timeout. */
    private class Received(val event: ServerSentEvent?)

    companion object {
        /** Data of the event that ends a complete stream. */
        const val END_OF_STREAM: String = "[DONE]"

        /** Name of the event with which another host reports that its stream has failed. */
        const val ERROR_EVENT: String = "error"
    }
}
