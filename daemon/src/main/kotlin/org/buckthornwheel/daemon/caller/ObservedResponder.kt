package org.buckthornwheel.daemon.caller

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.onEach
import org.buckthornwheel.api.GatewayFailure
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.daemon.request.BufferedResponse
import org.buckthornwheel.daemon.request.Responder
import org.buckthornwheel.daemon.request.ResponseOrigin
import org.buckthornwheel.daemon.request.StreamStep

/** Delegates to another responder and records what was reported to the caller, for metrics and the log. */
internal class ObservedResponder(private val delegate: Responder, private val onFirstPart: () -> Unit) : Responder {
    private var hasBegun = false

    /** The outcome that was reported to the caller; `unknown` until one was reported. */
    var outcome: Outcome = Outcome.UNKNOWN
        private set

    /** The target that produced the response; null if none did. */
    var target: String? = null
        private set

    /** The failure that was reported to the caller; null if there was none. */
    var reportedFailure: GatewayFailure? = null
        private set

    override suspend fun respond(response: BufferedResponse) {
        target = response.origin.target
        recordPart()
        delegate.respond(response)
        outcome = Outcome.COMPLETED
    }

    override suspend fun stream(origin: ResponseOrigin, steps: Flow<StreamStep>) {
        target = origin.target
        delegate.stream(origin, steps.onEach(::observe))
        outcome = reportedFailure?.outcome ?: Outcome.COMPLETED
    }

    override suspend fun fail(failure: GatewayFailure) {
        reportedFailure = failure
        outcome = failure.outcome
        delegate.fail(failure)
    }

    private fun observe(step: StreamStep) {
        recordPart()
        if (step is StreamStep.Broken) reportedFailure = step.failure
    }

    private fun recordPart() {
        if (hasBegun) return
        hasBegun = true
        onFirstPart()
    }
}
