package org.buckthornwheel.daemon.caller

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.sse.SSEServerContent
import io.ktor.sse.ServerSentEvent
import kotlinx.coroutines.flow.Flow
import kotlinx.serialization.json.Json
import org.buckthornwheel.api.FailureCause
import org.buckthornwheel.api.GatewayFailure
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.api.RequestId
import org.buckthornwheel.daemon.request.BufferedResponse
import org.buckthornwheel.daemon.request.Responder
import org.buckthornwheel.daemon.request.ResponseOrigin
import org.buckthornwheel.daemon.request.StreamStep
import org.buckthornwheel.daemon.request.UpstreamClient
import org.buckthornwheel.protocol.caller.CallerHeaders
import org.buckthornwheel.protocol.caller.Problem

/** Writes the response of one HTTP call; the hops reported in its header are at least [hops]. */
internal class HttpResponder(private val call: ApplicationCall, private val id: RequestId, private val hops: Int) :
    Responder {
    override suspend fun respond(response: BufferedResponse) {
        writeOriginHeaders(response.origin)
        call.response.header(CallerHeaders.OUTCOME, Outcome.COMPLETED.headerValue)
        call.respondBytes(response.body, response.contentType?.let(ContentType::parse), response.status)
    }

    override suspend fun stream(origin: ResponseOrigin, steps: Flow<StreamStep>) {
        writeOriginHeaders(origin)
        call.respond(
            SSEServerContent(call, {
                steps.collect { step -> send(eventOf(step)) }
            }),
        )
    }

    override suspend fun fail(failure: GatewayFailure) {
        call.response.header(CallerHeaders.REQUEST_ID, id.value)
        call.response.header(CallerHeaders.OUTCOME, failure.outcome.headerValue)
        call.response.header(CallerHeaders.FAILURE_CAUSE, failure.cause.title)
        failure.retryAfter?.let { call.response.header(HttpHeaders.RetryAfter, it.inWholeSeconds.coerceAtLeast(1)) }
        call.respondText(problemText(failure), ContentType.Application.ProblemJson, statusOf(failure.cause))
    }

    private fun writeOriginHeaders(origin: ResponseOrigin) {
        call.response.header(CallerHeaders.REQUEST_ID, id.value)
        call.response.header(CallerHeaders.TARGET, origin.target)
        call.response.header(CallerHeaders.HOPS, maxOf(origin.hops, hops).toString())
    }

    /** A complete stream ends in a comment with its outcome, which clients ignore; a broken one in an error event. */
    private fun eventOf(step: StreamStep): ServerSentEvent = when (step) {
        is StreamStep.Event -> ServerSentEvent(data = step.data)
        is StreamStep.Completed -> ServerSentEvent(comments = "$OUTCOME_COMMENT: ${Outcome.COMPLETED.headerValue}")
        is StreamStep.Broken -> ServerSentEvent(data = problemText(step.failure), event = ERROR_EVENT)
    }

    private fun problemText(failure: GatewayFailure): String = Json.encodeToString(
        Problem(
            type = "urn:buckthornwheel:problem:${failure.cause.title}",
            title = failure.cause.title,
            status = statusOf(failure.cause).value,
            detail = failure.detail,
            step = failure.step.title,
            peer = failure.peer,
            outcome = failure.outcome.headerValue,
            requestId = id.value,
        ),
    )

    companion object {
        /** Name of the event that ends a broken stream. */
        const val ERROR_EVENT: String = UpstreamClient.ERROR_EVENT

        /** Start of the comment that ends a complete stream. */
        const val OUTCOME_COMMENT: String = CallerHeaders.OUTCOME

        /** The status code of a response that reports [cause]. */
        fun statusOf(cause: FailureCause): HttpStatusCode = when (cause) {
            FailureCause.INVALID_REQUEST -> HttpStatusCode.BadRequest
            FailureCause.UNAUTHENTICATED -> HttpStatusCode.Unauthorized
            FailureCause.NOT_FOUND -> HttpStatusCode.NotFound
            FailureCause.TOO_LARGE -> HttpStatusCode.PayloadTooLarge
            FailureCause.CONFLICT -> HttpStatusCode.Conflict
            FailureCause.RATE_LIMITED -> HttpStatusCode.TooManyRequests
            FailureCause.OVERLOADED -> HttpStatusCode.ServiceUnavailable
            FailureCause.NO_PERMITTED_TARGET -> HttpStatusCode.ServiceUnavailable
            FailureCause.DEADLINE_EXCEEDED -> HttpStatusCode.GatewayTimeout
            FailureCause.UNREACHABLE -> HttpStatusCode.BadGateway
            FailureCause.BROKEN_ANSWER -> HttpStatusCode.BadGateway
            FailureCause.UNAVAILABLE -> HttpStatusCode.ServiceUnavailable
            FailureCause.INTERNAL -> HttpStatusCode.InternalServerError
        }
    }
}
