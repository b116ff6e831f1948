package org.buckthornwheel.daemon.caller

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.onEach
import org.buckthornwheel.api.GatewayFailure
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.daemon.request.BufferedResponse
import org.buckthornwheel.daemon.request.Responder
import org.buckthornwheel.daemon.request.ResponseOrigin
import org.buckthornwheel.daemon.request.StreamStep

/** Passes an answer on and remembers what the caller was told, for the meters and the log. */
internal class ObservedResponder(private val delegate: Responder, private val onFirstPiece: () -> Unit) : Responder {
    private var answered = false

    /** What the caller was told; `unknown` until it was told something. */
    var outcome: Outcome = Outcome.UNKNOWN
        private set

    /** The target that answered, if one did. */
    var target: String? = null
        private set

    /** The failure that the caller was told, if it was. */
    var told: GatewayFailure? = null
        private set

    override suspend fun respond(response: BufferedResponse) {
        target = response.origin.target
        piece()
        delegate.respond(response)
        outcome = Outcome.COMPLETED
    }

    override suspend fun stream(origin: ResponseOrigin, steps: Flow<StreamStep>) {
        target = origin.target
        delegate.stream(origin, steps.onEach(::observe))
        outcome = told?.outcome ?: Outcome.COMPLETED
    }

    override suspend fun fail(failure: GatewayFailure) {
        told = failure
        outcome = failure.outcome
        delegate.fail(failure)
    }

    private fun observe(step: StreamStep) {
        piece()
        if (step is StreamStep.Broken) told = step.failure
    }

    private fun piece() {
        if (answered) return
        answered = true
        onFirstPiece()
    }
}
