package org.buckthornwheel.daemon.request

import arrow.core.Either
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import org.buckthornwheel.api.FailureCause
import org.buckthornwheel.api.GatewayFailure
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.Step
import org.buckthornwheel.api.estate.TargetItem
import org.buckthornwheel.decision.fleet.TargetAttemptResult
import org.buckthornwheel.decision.fleet.TargetFleet
import org.buckthornwheel.protocol.caller.CallerHeaders
import kotlin.time.Duration

/** Sends a request to a target of the local zone and records the attempt's result in [fleet]. */
internal class TargetDispatcher(
    private val client: UpstreamClient,
    private val fleet: TargetFleet,
    private val clock: MonotonicClock,
    private val minimumAttemptTimeout: Duration,
) {
    /** Sends [request] to [target] and reads the complete response. */
    suspend fun execute(target: TargetItem, request: GatewayRequest): Either<GatewayFailure, BufferedResponse> =
        recorded(target) { client.execute(upstreamRequest(target, request)) }

    /** Calls [consume] with the data of each event; succeeds only if the stream was complete. */
    suspend fun stream(
        target: TargetItem,
        request: GatewayRequest,
        consume: suspend (ResponseOrigin, String) -> EventVerdict,
    ): Either<GatewayFailure, Unit> = recorded(target) { client.stream(upstreamRequest(target, request), consume) }

    private suspend fun <Result> recorded(
        target: TargetItem,
        block: suspend () -> Either<GatewayFailure, Result>,
    ): Either<GatewayFailure, Result> {
        fleet.recordStart(target.name)
        val started = clock.now()
        var attemptResult = TargetAttemptResult.ABANDONED
        try {
            return block().also { attemptResult = it.fold(::attemptResultOf) { TargetAttemptResult.SUCCEEDED } }
        } finally {
            val now = clock.now()
            fleet.recordEnd(target.name, attemptResult, now - started, now)
        }
    }

    private fun attemptResultOf(failure: GatewayFailure): TargetAttemptResult = when (failure.cause) {
        FailureCause.UNREACHABLE, FailureCause.OVERLOADED -> TargetAttemptResult.REFUSED
        FailureCause.DEADLINE_EXCEEDED -> TargetAttemptResult.ABANDONED
        else -> TargetAttemptResult.FAILED
    }

    private fun upstreamRequest(target: TargetItem, request: GatewayRequest): UpstreamRequest = UpstreamRequest(
        peer = Upstream(target.name.value, Step.DISPATCH),
        id = request.id,
        timeout = request.attemptTimeout(clock.now(), minimumAttemptTimeout),
        deadline = request.deadline,
        build = { build(target, request) },
    )

    private fun HttpRequestBuilder.build(target: TargetItem, request: GatewayRequest) {
        val work = request.work
        val isGet = work is RequestedWork.ServiceCall && work.isGet
        method = if (isGet) HttpMethod.Get else HttpMethod.Post
        url("http://${target.address}${targetPath(request)}")
        header(CallerHeaders.REQUEST_ID, request.id.value)
        request.idempotencyKey?.let { header(CallerHeaders.IDEMPOTENCY_KEY, it) }
        if (isGet) return
        contentType(ContentType.Application.Json)
        setBody(request.body)
    }

    private fun targetPath(request: GatewayRequest): String = when (val work = request.work) {
        is RequestedWork.Completion -> request.path
        is RequestedWork.ServiceCall -> request.path.removePrefix(SERVICE_PREFIX).ifEmpty { "/${work.service}" }
    }

    private companion object {
        const val SERVICE_PREFIX = "/v1/services"
    }
}
