package org.buckthornwheel.daemon.caller

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.server.sse.SSE
import kotlinx.coroutines.ensureActive
import kotlinx.serialization.json.Json
import org.buckthornwheel.api.FailureCause
import org.buckthornwheel.api.GatewayFailure
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.api.RequestId
import org.buckthornwheel.api.Step
import org.buckthornwheel.daemon.observability.Part
import org.buckthornwheel.daemon.request.RequestService
import org.buckthornwheel.daemon.request.RequestsInFlight
import org.buckthornwheel.daemon.request.Responder
import org.buckthornwheel.protocol.caller.CallerHeaders
import org.buckthornwheel.protocol.caller.Problem
import java.util.UUID
import kotlin.coroutines.coroutineContext
import kotlin.time.Duration.Companion.nanoseconds

/** The HTTP routes for callers. */
internal class CallerRoutes(
    private val reader: RequestReader,
    private val service: RequestService,
    private val entryHosts: EntryHostList,
    private val inFlight: RequestsInFlight,
    private val meters: CallerMeters,
) {
    fun install(application: Application): Unit = with(application) {
        install(SSE)
        routing {
            get(ENTRY_HOSTS) {
                call.respondText(Json.encodeToString(entryHosts.current()), ContentType.Application.Json)
            }
            COMPLETIONS.forEach { path -> post(path) { serve(call) } }
            post("$SERVICES/{service}/{operation}") { serve(call) }
            get("$SERVICES/{service}/{operation}") { serve(call) }
            route("{path...}") { handle { rejectUnknownPath(call) } }
        }
    }

    private suspend fun serve(call: ApplicationCall): Unit = inFlight.count {
        val id = RequestId(UUID.randomUUID().toString())
        val started = System.nanoTime()
        val responder = ObservedResponder(HttpResponder(call, id, hops = 0)) {
            meters.recordFirstByte(System.nanoTime() - started)
        }
        try {
            process(call, id, responder)
        } finally {
            recordEnd(id, responder, System.nanoTime() - started)
        }
    }

    private suspend fun process(call: ApplicationCall, id: RequestId, responder: Responder): Unit = try {
        inFlight.untilInterrupted(Step.READ_REQUEST, Outcome.NOT_RUN) { reader.read(call, id) }.fold(
            ifLeft = { responder.fail(it) },
            ifRight = { service.serve(it, responder) },
        )
    } catch (failure: Exception) {
        coroutineContext.ensureActive()
        Part.REQUEST.warn("Request $id failed unexpectedly: $failure.")
        if (call.response.isCommitted) throw failure
        responder.fail(UNEXPECTED)
    }

    private fun recordEnd(id: RequestId, responder: ObservedResponder, nanoseconds: Long) {
        meters.recordEnd(responder.outcome, nanoseconds)
        val time = nanoseconds.nanoseconds.inWholeMilliseconds
        val end = "Request $id ended as ${responder.outcome.headerValue} after $time ms"
        val failure =
            responder.reportedFailure ?: return Part.REQUEST.debug("$end; the response came from ${responder.target}.")
        Part.REQUEST.info("$end: ${failure.cause.title} at step ${failure.step.title}, peer ${failure.peer}.")
    }

    private suspend fun rejectUnknownPath(call: ApplicationCall) {
        val path = call.request.path()
        val allowed = allowedMethods(path)
        if (allowed != null) call.response.header(HttpHeaders.Allow, allowed)
        val status = if (allowed == null) HttpStatusCode.NotFound else HttpStatusCode.MethodNotAllowed
        val detail = when (allowed) {
            null -> "the path '${path.take(MAXIMUM_QUOTE_CHARACTERS)}' does not exist"
            else -> "this path allows $allowed, not ${call.request.httpMethod.value.take(MAXIMUM_QUOTE_CHARACTERS)}"
        }
        call.response.header(CallerHeaders.OUTCOME, Outcome.NOT_RUN.headerValue)
        call.respondText(problem(status, detail), ContentType.Application.ProblemJson, status)
    }

    private fun allowedMethods(path: String): String? = when {
        path == ENTRY_HOSTS -> "GET"
        path in COMPLETIONS -> "POST"
        path.startsWith("$SERVICES/") && path.count { it == '/' } == SERVICE_PATH_SLASHES -> "GET, POST"
        else -> null
    }

    private fun problem(status: HttpStatusCode, detail: String): String {
        val title = if (status == HttpStatusCode.NotFound) FailureCause.NOT_FOUND.title else "method-not-allowed"
        val type = "urn:buckthornwheel:problem:$title"
        val outcome = Outcome.NOT_RUN.headerValue
        val problem = Problem(type, title, status.value, detail, Step.READ_REQUEST.title, outcome = outcome)
        return Json.encodeToString(problem)
    }

    private companion object {
        const val ENTRY_HOSTS = "/v1/entry-hosts"
        const val SERVICES = "/v1/services"
        const val SERVICE_PATH_SLASHES = 4
        const val MAXIMUM_QUOTE_CHARACTERS = 100
        val COMPLETIONS = listOf("/v1/chat/completions", "/v1/completions")
        val UNEXPECTED = GatewayFailure(
            step = Step.READ_REQUEST,
            peer = null,
            cause = FailureCause.INTERNAL,
            detail = "internal error of the host; its log has the cause",
            outcome = Outcome.UNKNOWN,
        )
    }
}
