package org.buckthornwheel.daemon.request

import arrow.core.Either
import arrow.core.left
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.buckthornwheel.api.FailureCause
import org.buckthornwheel.api.GatewayFailure
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.api.Step
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The requests in progress; each of them gets a response before a host that shuts down ends. */
internal class RequestsInFlight {
    private val count = MutableStateFlow(0)
    private val interruption = CompletableDeferred<Unit>()

    /** Whether new requests are refused. */
    @Volatile
    var isClosed: Boolean = false
        private set

    /** Requests in progress now. */
    val current: Int get() = count.value

    /** Runs [block] and counts it as a request in progress. */
    suspend fun <Result> count(block: suspend () -> Result): Result {
        count.update { it + 1 }
        try {
            return block()
        } finally {
            count.update { it - 1 }
        }
    }

    /** Runs [block], or returns a failure at [step] with [outcome] if the shutdown interrupts it. */
    suspend fun <Result> untilInterrupted(
        step: Step,
        outcome: Outcome,
        block: suspend () -> Either<GatewayFailure, Result>,
    ): Either<GatewayFailure, Result> = coroutineScope {
        val work = async { block() }
        select {
            work.onAwait { it }
            interruption.onAwait {
                work.cancel()
                shuttingDown(step, "the host shut down before the response was complete", outcome).left()
            }
        }
    }

    /**
     * Serves until no request is in progress, at most for half of [grace], then refuses new requests; interrupts those
     * that are still in progress after [grace].
     */
    suspend fun shutDown(grace: Duration) {
        withTimeoutOrNull(grace / 2) { awaitNone() }
        isClosed = true
        withTimeoutOrNull(grace / 2) { awaitNone() }
        interruption.complete(Unit)
        withTimeoutOrNull(INTERRUPTED_RESPONSE_TIMEOUT) { awaitNone() }
    }

    private suspend fun awaitNone() {
        count.first { it == 0 }
    }

    companion object {
        private val INTERRUPTED_RESPONSE_TIMEOUT = 2.seconds
        private val REFUSAL_RETRY_AFTER = 1.seconds

        /** The failure of [request], which a closed host does not run. */
        fun refusalOf(request: GatewayRequest): GatewayFailure {
            val mayHaveRunBefore = !request.isIdempotent && request.idempotencyKey != null && !request.firstAttempt
            val outcome = if (mayHaveRunBefore) Outcome.UNKNOWN else Outcome.NOT_RUN
            return shuttingDown(Step.ADMIT, "the host is shutting down", outcome).copy(retryAfter = REFUSAL_RETRY_AFTER)
        }

        private fun shuttingDown(step: Step, detail: String, outcome: Outcome): GatewayFailure =
            GatewayFailure(step, null, FailureCause.UNAVAILABLE, detail, outcome)
    }
}
