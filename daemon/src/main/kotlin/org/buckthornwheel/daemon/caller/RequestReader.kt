package org.buckthornwheel.daemon.caller

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.uri
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import kotlinx.io.readByteArray
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.FailureCause
import org.buckthornwheel.api.GatewayFailure
import org.buckthornwheel.api.ModelName
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.OperationName
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.api.RequestId
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.api.Step
import org.buckthornwheel.daemon.configuration.EstateHolder
import org.buckthornwheel.daemon.identity.AccountDirectory
import org.buckthornwheel.daemon.request.GatewayRequest
import org.buckthornwheel.daemon.request.RequestScope
import org.buckthornwheel.daemon.request.RequestedWork
import org.buckthornwheel.decision.estate.Estate
import org.buckthornwheel.protocol.caller.CallerHeaders
import org.buckthornwheel.protocol.caller.CompletionRequestFields
import org.buckthornwheel.settings.LimitSettings
import org.buckthornwheel.settings.TimeoutSettings
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds

/** Reads and validates a caller's HTTP call: a [GatewayRequest], or the failure that is reported to the caller. */
internal class RequestReader(
    private val accounts: AccountDirectory,
    private val estate: EstateHolder,
    private val limits: LimitSettings,
    private val timeouts: TimeoutSettings,
    private val clock: MonotonicClock,
) {
    suspend fun read(call: ApplicationCall, id: RequestId): Either<GatewayFailure, GatewayRequest> = either {
        val started = clock.now()
        val account = authenticate(call)
        val deadline = deadlineMilliseconds(call)
        val body = readBody(call).bind()
        val current = estate.current()
        GatewayRequest(
            id = id,
            account = account,
            path = call.request.uri,
            work = workOf(current, call.request.uri, call.request.httpMethod == HttpMethod.Get, body).bind(),
            body = body,
            deadline = started + deadline.milliseconds,
            scope = RequestScope(
                hops = 0,
                visitedZones = emptyList(),
                permittedRegions = current.residencyRule(account)?.permittedRegions?.toSet(),
            ),
            idempotencyKey = idempotencyKey(call),
            firstAttempt = call.request.header(CallerHeaders.ATTEMPT) == FIRST_ATTEMPT,
        )
    }

    /** The operation that a request with [path] and [body] asks for, by the models and services of [current]. */
    fun workOf(current: Estate, path: String, isGet: Boolean, body: ByteArray): Either<GatewayFailure, RequestedWork> =
        either {
            val plainPath = path.substringBefore('?')
            if (plainPath.startsWith(SERVICES)) serviceCall(current, plainPath, isGet) else completion(current, body)
        }

    private fun Raise<GatewayFailure>.authenticate(call: ApplicationCall): AccountName {
        val authorization = call.request.header(HttpHeaders.Authorization)
        val token = authorization?.takeIf { it.startsWith(BEARER) }?.removePrefix(BEARER)
        ensureNotNull(token) {
            rejection(Step.AUTHENTICATE, FailureCause.UNAUTHENTICATED, "the request has no bearer token")
        }
        val account = accounts.accountOf(token)
        return ensureNotNull(account) {
            rejection(Step.AUTHENTICATE, FailureCause.UNAUTHENTICATED, "the bearer token belongs to no account")
        }
    }

    private fun Raise<GatewayFailure>.deadlineMilliseconds(call: ApplicationCall): Long {
        val text = call.request.header(CallerHeaders.DEADLINE) ?: return timeouts.defaultDeadlineMilliseconds
        val number = text.toLongOrNull()
        ensure(number != null && number > 0) {
            invalid("${CallerHeaders.DEADLINE} is not a whole number of milliseconds above 0")
        }
        return number.coerceAtMost(timeouts.defaultDeadlineMilliseconds)
    }

    private fun Raise<GatewayFailure>.idempotencyKey(call: ApplicationCall): String? {
        val key = call.request.header(CallerHeaders.IDEMPOTENCY_KEY) ?: return null
        ensure(key.length in 1..MAXIMUM_KEY_CHARACTERS && key.all { it in VISIBLE_ASCII }) {
            invalid("${CallerHeaders.IDEMPOTENCY_KEY} has to be 1 to $MAXIMUM_KEY_CHARACTERS visible ASCII characters")
        }
        return key
    }

    /** Reads the body of [call], with limits on its size and on the time to receive it. */
    suspend fun readBody(call: ApplicationCall): Either<GatewayFailure, ByteArray> {
        if ((call.request.contentLength() ?: 0) > limits.requestBodyBytes) return tooLarge().left()
        val bytes = try {
            withTimeout(timeouts.requestBodyMilliseconds) {
                call.receiveChannel().readRemaining(limits.requestBodyBytes + 1L).readByteArray()
            }
        } catch (_: TimeoutCancellationException) {
            return invalid("the body did not arrive within ${timeouts.requestBodyMilliseconds} ms").left()
        } catch (broken: IOException) {
            return invalid("reading the body failed: ${broken.message}").left()
        }
        return if (bytes.size <= limits.requestBodyBytes) bytes.right() else tooLarge().left()
    }

    private fun tooLarge(): GatewayFailure =
        rejection(Step.READ_REQUEST, FailureCause.TOO_LARGE, "the body exceeds ${limits.requestBodyBytes} bytes")

    private fun Raise<GatewayFailure>.completion(current: Estate, body: ByteArray): RequestedWork {
        val fields = Either.catchOrThrow<SerializationException, CompletionRequestFields> {
            format.decodeFromString(body.decodeToString())
        }.getOrElse { raise(invalid("the body is not a completion request in JSON")) }
        val model = current.model(ModelName(fields.model))
        ensureNotNull(model) { notFound("there is no model '${fields.model.take(MAXIMUM_QUOTE_CHARACTERS)}'") }
        return RequestedWork.Completion(model.name, fields.stream, fields.maximumTokens)
    }

    private fun Raise<GatewayFailure>.serviceCall(current: Estate, path: String, isGet: Boolean): RequestedWork {
        val segments = path.removePrefix(SERVICES).split('/')
        ensure(segments.size == 2) { notFound("the path of a service call is $SERVICES{service}/{operation}") }
        val service = current.service(ServiceName(segments[0]))
        ensureNotNull(service) { notFound("there is no service '${segments[0].take(MAXIMUM_QUOTE_CHARACTERS)}'") }
        val operation = OperationName(segments[1])
        val declared = service.operations.firstOrNull { it.name == operation }
        return RequestedWork.ServiceCall(service.name, operation, isGet || declared?.idempotent == true, isGet)
    }

    private fun notFound(detail: String): GatewayFailure = rejection(Step.READ_REQUEST, FailureCause.NOT_FOUND, detail)

    private fun invalid(detail: String): GatewayFailure =
        rejection(Step.READ_REQUEST, FailureCause.INVALID_REQUEST, detail)

    private fun rejection(step: Step, cause: FailureCause, detail: String): GatewayFailure =
        GatewayFailure(step, null, cause, detail, Outcome.NOT_RUN)

    private companion object {
        const val FIRST_ATTEMPT = "1"
        const val SERVICES = "/v1/services/"
        const val BEARER = "Bearer "

        const val MAXIMUM_KEY_CHARACTERS = 200

        /** Limit on the text of a request that a failure quotes. */
        const val MAXIMUM_QUOTE_CHARACTERS = 100
        val VISIBLE_ASCII = '!'..'~'
        val format = Json { ignoreUnknownKeys = true }
    }
}
