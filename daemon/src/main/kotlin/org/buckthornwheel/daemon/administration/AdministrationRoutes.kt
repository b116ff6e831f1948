package org.buckthornwheel.daemon.administration

import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.install
import io.ktor.server.plugins.statuspages.StatusPages
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import org.buckthornwheel.api.HostName
import org.buckthornwheel.daemon.configuration.EstateHolder
import org.buckthornwheel.daemon.observability.Part
import org.buckthornwheel.protocol.administration.AuditResult
import org.buckthornwheel.protocol.administration.AuditedAction
import org.buckthornwheel.protocol.administration.EstateView
import org.buckthornwheel.settings.AdministrationRole

/** The HTTP routes for operators, and those for health, readiness and metrics of the host. */
internal class AdministrationRoutes(
    private val host: HostName,
    private val access: AdministrationAccess,
    private val estate: EstateHolder,
    private val notes: NoteRoutes,
    private val recorder: AuditRecorder,
    private val views: AdministrationViews,
    private val drain: () -> Unit,
) {
    fun install(application: Application): Unit = with(application) {
        installErrorHandler(this)
        routing {
            get("/healthz") { call.respondText("alive\n") }
            get("/readyz") { readiness() }
            get("/metrics") { call.respondText(views.metrics()) }
            get("/administration/v1/estate") { requireReader { call.json(estateView()) } }
            get("/administration/v1/hosts") { requireReader { call.json(views.hosts()) } }
            get("/administration/v1/targets") { requireReader { call.json(views.targets()) } }
            get("/administration/v1/audit") { requireReader { audit() } }
            get(NOTES) { requireReader { notes.list(this) } }
            get("$NOTES/{id}") { requireReader { notes.show(this) } }
            post("$NOTES/check") { requireReader { notes.check(this) } }
            post(NOTES) { requireOperator(AuditedAction.SUBMIT_NOTE) { notes.submit(this, it) } }
            post("/administration/v1/drain") { requireOperator(AuditedAction.DRAIN) { startDrain(it) } }
            route("{path...}") { handle { rejectUnknownPath() } }
        }
    }

    private fun installErrorHandler(application: Application): Unit = with(application) {
        install(StatusPages) {
            exception<Throwable> { call, failure ->
                Part.ADMINISTRATION.warn("An administration call failed unexpectedly: $failure.")
                call.problem(
                    HttpStatusCode.InternalServerError,
                    "internal",
                    "internal error of the host; its log has the cause",
                )
            }
        }
    }

    private suspend fun RoutingContext.rejectUnknownPath() {
        val request = "${call.request.httpMethod.value} ${call.request.path()}".take(MAXIMUM_QUOTE_CHARACTERS)
        call.problem(HttpStatusCode.NotFound, "not-found", "'$request' does not exist; see docs/API.md")
    }

    private suspend fun RoutingContext.readiness() {
        val missing = views.missingForReadiness()
        val status = if (missing.isEmpty()) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
        val text = if (missing.isEmpty()) "ready\n" else "waiting for ${missing.joinToString()}\n"
        call.respondText(text, status = status)
    }

    private suspend fun RoutingContext.audit() {
        val since = call.request.queryParameters["since"]?.let { it.toLongOrNull() ?: -1 }
        val limit = call.request.queryParameters["limit"]?.let { it.toIntOrNull() ?: -1 } ?: DEFAULT_AUDIT_ENTRIES
        if ((since ?: 0) < 0 || limit !in 1..MAXIMUM_AUDIT_ENTRIES) {
            val allowed = "'since' has to be milliseconds since the epoch, 'limit' 1 to $MAXIMUM_AUDIT_ENTRIES"
            return call.problem(HttpStatusCode.BadRequest, "invalid-request", allowed)
        }
        call.json(recorder.view(since, limit, notes.accepted()))
    }

    private suspend fun RoutingContext.startDrain(bearer: Bearer) {
        Part.ADMINISTRATION.info("The operator ${bearer.name} has started to drain this host.")
        recorder.record(bearer, AuditedAction.DRAIN, host.value, AuditResult.ACCEPTED, "the host drains and stops")
        call.respondText("draining\n", status = HttpStatusCode.Accepted)
        drain()
    }

    private fun estateView(): EstateView {
        val current = estate.current()
        return EstateView(current.revision, current.allItems.sortedBy { it.key.toString() })
    }

    /** Runs [block] if the call carries a valid token of any role. */
    private suspend fun RoutingContext.requireReader(block: suspend RoutingContext.() -> Unit) {
        access.bearerOf(call.request.header(HttpHeaders.Authorization)) ?: return unauthorized()
        block()
    }

    /** Runs [block] if the call carries a valid token of the role operator; records a forbidden [action]. */
    private suspend fun RoutingContext.requireOperator(
        action: AuditedAction,
        block: suspend RoutingContext.(Bearer) -> Unit,
    ) {
        val bearer = access.bearerOf(call.request.header(HttpHeaders.Authorization)) ?: return unauthorized()
        if (bearer.role == AdministrationRole.OPERATOR) return block(bearer)
        recorder.record(bearer, action, host.value, AuditResult.FORBIDDEN, "the role reader does not permit it")
        val detail = "the token '${bearer.name}' has the role reader; this call requires the role operator"
        call.problem(HttpStatusCode.Forbidden, "forbidden", detail)
    }

    private suspend fun RoutingContext.unauthorized() {
        call.response.header(HttpHeaders.WWWAuthenticate, "Bearer")
        val detail = "send a token from the host's settings as 'Authorization: Bearer TOKEN'"
        call.problem(HttpStatusCode.Unauthorized, "unauthenticated", detail)
    }

    private companion object {
        const val NOTES = "/administration/v1/notes"
        const val DEFAULT_AUDIT_ENTRIES = 200
        const val MAXIMUM_AUDIT_ENTRIES = 1_000
        const val MAXIMUM_QUOTE_CHARACTERS = 100
    }
}
