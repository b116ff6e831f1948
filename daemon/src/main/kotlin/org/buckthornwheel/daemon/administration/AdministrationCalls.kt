/*
 * Shared by the routes of the administration API: reading a body and writing a response or a problem.
 */

package org.buckthornwheel.daemon.administration

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.respondText
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray
import kotlinx.serialization.json.Json
import org.buckthornwheel.protocol.administration.AdministrationProblem
import kotlin.time.Duration.Companion.seconds

/** Limit on the body of an operator's request: the size limit of one value in the platform's key-value service. */
internal const val MAXIMUM_ADMINISTRATION_BODY_BYTES: Long = 1_048_576

private val BODY_TIMEOUT = 10.seconds

/** Responds with [view] as JSON. */
internal suspend inline fun <reified View> ApplicationCall.json(
    view: View,
    status: HttpStatusCode = HttpStatusCode.OK,
): Unit = respondText(Json.encodeToString(view), ContentType.Application.Json, status)

/** Responds with a problem of the kind [title]; [detail] says what was wrong and how to resolve it. */
internal suspend fun ApplicationCall.problem(status: HttpStatusCode, title: String, detail: String) {
    val problem = AdministrationProblem("urn:buckthornwheel:problem:$title", title, status.value, detail)
    respondText(Json.encodeToString(problem), ContentType.Application.ProblemJson, status)
}

/** The body as text; null if it was too large or too slow, in which case the response has been sent. */
internal suspend fun ApplicationCall.boundedText(): String? {
    val contentLength = request.contentLength() ?: 0
    if (contentLength > MAXIMUM_ADMINISTRATION_BODY_BYTES) return tooLarge()
    val bytes = withTimeoutOrNull(BODY_TIMEOUT) {
        receiveChannel().readRemaining(MAXIMUM_ADMINISTRATION_BODY_BYTES + 1).readByteArray()
    }
    if (bytes == null) {
        problem(HttpStatusCode.RequestTimeout, "body-late", "the body did not arrive within $BODY_TIMEOUT")
        return null
    }
    return if (bytes.size > MAXIMUM_ADMINISTRATION_BODY_BYTES) tooLarge() else bytes.decodeToString()
}

private suspend fun ApplicationCall.tooLarge(): String? {
    val detail = "the body exceeds $MAXIMUM_ADMINISTRATION_BODY_BYTES bytes"
    problem(HttpStatusCode.PayloadTooLarge, "too-large", detail)
    return null
}
