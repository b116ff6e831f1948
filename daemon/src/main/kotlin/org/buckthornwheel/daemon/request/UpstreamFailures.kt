package org.buckthornwheel.daemon.request

import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.statement.HttpResponse
import io.ktor.http.HttpStatusCode
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.buckthornwheel.api.FailureCause
import org.buckthornwheel.api.GatewayFailure
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.api.Step
import org.buckthornwheel.protocol.caller.CallerHeaders
import org.buckthornwheel.protocol.caller.Problem
import java.net.ConnectException

/** Builds the failures of upstream requests, each with the outcome that can be inferred from it. */
internal class UpstreamFailures {
    /** The failure that another host or a target reports in [response]; null if the response is not an error. */
    fun rejection(peer: Upstream, response: HttpResponse): GatewayFailure? {
        val reportedCause = response.headers[CallerHeaders.FAILURE_CAUSE]
        if (reportedCause != null) return reported(peer, reportedCause, response.headers[CallerHeaders.OUTCOME])
        if (response.status.value < HttpStatusCode.InternalServerError.value) return null
        val overloaded = response.status == HttpStatusCode.ServiceUnavailable
        val cause = if (overloaded) FailureCause.OVERLOADED else FailureCause.BROKEN_ANSWER
        val detail = "${peer.name} responded with status ${response.status.value}"
        return GatewayFailure(peer.step, peer.name, cause, detail, Outcome.UNKNOWN)
    }

    /** The failure in [problem], which another host sent as the last event of a stream. */
    fun reportedByHost(peer: Upstream, problem: String?): GatewayFailure = try {
        val read = Json.decodeFromString<Problem>(problem.orEmpty())
        reported(peer, read.title, read.outcome)
    } catch (_: SerializationException) {
        brokenResponse(peer, "the stream ended in an error")
    }

    /**
     * [failure] of the connection.
     *
     * If the connection could not be established, no byte was sent; after any other error the request may have been
     * executed.
     */
    fun transportError(peer: Upstream, failure: Exception): GatewayFailure {
        val causes = generateSequence<Throwable>(failure) { it.cause }
        val neverConnected = causes.any { it is ConnectException || it is ConnectTimeoutException }
        if (!neverConnected) return brokenResponse(peer, failure.message ?: failure.javaClass.simpleName)
        val detail = "could not connect to ${peer.name}"
        return GatewayFailure(peer.step, peer.name, FailureCause.UNREACHABLE, detail, Outcome.NOT_RUN)
    }

    /** The connection is open, but no data arrived in time. */
    fun timedOut(peer: Upstream): GatewayFailure = brokenResponse(peer, "${peer.name} sent no data in time")

    /** The engine reported an error within its stream. */
    fun engineError(peer: Upstream): GatewayFailure =
        brokenResponse(peer, "${peer.name} reported an error in its stream")

    /** The caller's deadline has passed. */
    fun deadlineExceeded(peer: Upstream): GatewayFailure = GatewayFailure(
        step = Step.READ_ANSWER,
        peer = peer.name,
        cause = FailureCause.DEADLINE_EXCEEDED,
        detail = "the deadline passed before the response was complete",
        outcome = Outcome.UNKNOWN,
    )

    /** The response is incomplete or invalid. */
    fun brokenResponse(peer: Upstream, detail: String): GatewayFailure =
        GatewayFailure(Step.READ_ANSWER, peer.name, FailureCause.BROKEN_ANSWER, detail, Outcome.UNKNOWN)

    private fun reported(peer: Upstream, cause: String, outcome: String?): GatewayFailure = GatewayFailure(
        step = peer.step,
        peer = peer.name,
        cause = FailureCause.entries.firstOrNull { it.title == cause } ?: FailureCause.UNAVAILABLE,
        detail = "${peer.name} rejected the request: $cause",
        outcome = Outcome.of(outcome),
    )
}
