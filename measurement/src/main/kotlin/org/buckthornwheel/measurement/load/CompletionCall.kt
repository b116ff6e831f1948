package org.buckthornwheel.measurement.load

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.readLine
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.protocol.caller.CallerHeaders
import org.buckthornwheel.testing.LocalEstate
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Outcome and latencies of one request, measured from its intended start. */
internal data class FinishedCall(
    val outcome: CallOutcome,
    val latency: Duration,
    val firstToken: Duration? = null,
    val hops: Int = 0,
)

/** Sends completion requests over a shared connection pool. */
internal class CompletionCall : AutoCloseable {
    private val client = HttpClient(CIO) {
        engine {
            requestTimeout = 0
            maxConnectionsCount = MAXIMUM_CONNECTIONS
            endpoint { maxConnectionsPerRoute = MAXIMUM_CONNECTIONS }
        }
    }

    suspend fun run(plan: LoadPlan, number: Long, intendedStart: Long): FinishedCall = try {
        withTimeoutOrNull(plan.timeout - elapsedSince(intendedStart)) { attempt(plan, number, intendedStart) }
            ?: FinishedCall(CallOutcome.LATE, plan.timeout)
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (_: Exception) {
        FinishedCall(CallOutcome.FAILED, elapsedSince(intendedStart))
    }

    override fun close(): Unit = client.close()

    private suspend fun attempt(plan: LoadPlan, number: Long, intendedStart: Long): FinishedCall =
        client.preparePost("http://${plan.destination}/v1/chat/completions") {
            header(HttpHeaders.Authorization, "Bearer ${plan.bearerToken}")
            contentType(ContentType.Application.Json)
            setBody(body(plan.shape, number))
        }.execute { response -> read(response, plan.shape, intendedStart) }

    private suspend fun read(response: HttpResponse, shape: RequestShape, intendedStart: Long): FinishedCall {
        if (!response.status.isSuccess()) return failedCall(response, intendedStart)
        val hops = response.headers[CallerHeaders.HOPS]?.toIntOrNull() ?: 0
        if (shape.streamed) return readStream(response, hops, intendedStart)
        response.bodyAsChannel().readRemaining().close()
        return FinishedCall(CallOutcome.COMPLETED, elapsedSince(intendedStart), hops = hops)
    }

    private suspend fun readStream(response: HttpResponse, hops: Int, intendedStart: Long): FinishedCall {
        val channel = response.bodyAsChannel()
        var firstToken: Duration? = null
        while (true) {
            val line = channel.readLine() ?: return FinishedCall(CallOutcome.FAILED, elapsedSince(intendedStart))
            if (!line.startsWith(DATA)) continue
            if (firstToken == null) firstToken = elapsedSince(intendedStart)
            if (line.endsWith(END_OF_STREAM)) break
        }
        return FinishedCall(CallOutcome.COMPLETED, elapsedSince(intendedStart), firstToken, hops)
    }

    private fun failedCall(response: HttpResponse, intendedStart: Long): FinishedCall {
        val notRun = response.headers[CallerHeaders.OUTCOME] == Outcome.NOT_RUN.headerValue
        return FinishedCall(if (notRun) CallOutcome.REFUSED else CallOutcome.FAILED, elapsedSince(intendedStart))
    }

    private fun body(shape: RequestShape, number: Long): String =
        """{"model":"${LocalEstate.MODEL}","stream":${shape.streamed},"max_tokens":${shape.tokens},""" +
            """"messages":[{"role":"user","content":"inspection $number"}]}"""

    private fun elapsedSince(intendedStart: Long): Duration = (System.nanoTime() - intendedStart).nanoseconds

    private companion object {
        const val MAXIMUM_CONNECTIONS = 20_000
        const val DATA = "data:"
        const val END_OF_STREAM = "[DONE]"
    }
}
