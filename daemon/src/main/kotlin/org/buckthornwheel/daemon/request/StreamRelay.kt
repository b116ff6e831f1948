package org.buckthornwheel.daemon.request

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.onEach
import kotlinx.coroutines.launch
import org.buckthornwheel.api.FailureCause
import org.buckthornwheel.api.GatewayFailure
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.api.Step
import org.buckthornwheel.daemon.observability.Part

/**
 * Relays a streamed response to the caller: each event once, in order, and an explicit end.
 *
 * Another attempt continues a broken stream from the part that the caller has received; a stream that cannot be
 * continued ends in an error event. When the caller disconnects, the attempt in progress is cancelled, which also
 * cancels the work of the engine.
 */
internal class StreamRelay(
    private val attempts: RequestAttempts,
    private val dispatcher: TargetDispatcher,
    private val forwarder: PeerForwarder,
    private val meters: RequestMeters,
    private val inFlight: RequestsInFlight,
) {
    /** Streams the response of [request] to [responder]; returns a failure only if nothing was written. */
    suspend fun serve(request: GatewayRequest, responder: Responder): Either<GatewayFailure, Unit> = coroutineScope {
        val steps = Channel<RelayedStep>()
        val producer = launch { produce(request, steps) }
        val first = steps.receive()
        val origin = first.origin
        val result = if (origin == null) {
            failureOf(first.step).left()
        } else {
            write(request, responder, origin, stepsFrom(first, steps))
        }
        producer.cancel()
        result
    }

    private suspend fun write(
        request: GatewayRequest,
        responder: Responder,
        origin: ResponseOrigin,
        steps: Flow<StreamStep>,
    ): Either<GatewayFailure, Unit> {
        var isComplete = false
        try {
            responder.stream(origin, steps.onEach { if (it is StreamStep.Completed) isComplete = true })
        } catch (_: CancellationException) {
            currentCoroutineContext().ensureActive()
            if (!isComplete) recordAbandoned(request)
        } catch (_: Exception) {
            if (!isComplete) recordAbandoned(request)
        }
        return Unit.right()
    }

    private fun recordAbandoned(request: GatewayRequest) {
        meters.abandoned.increment()
        Part.REQUEST.info("The caller of request ${request.id} disconnected before the end of the response.")
    }

    private fun stepsFrom(first: RelayedStep, rest: ReceiveChannel<RelayedStep>): Flow<StreamStep> = flow {
        emit(first.step)
        for (next in rest) emit(next.step)
    }

    private suspend fun produce(request: GatewayRequest, steps: SendChannel<RelayedStep>) {
        val progress = StreamProgress(request.body)
        var origin: ResponseOrigin? = null
        val end = inFlight.untilInterrupted(Step.READ_ANSWER, Outcome.UNKNOWN) {
            attempts.run(request) { destination ->
                if (progress.hasBegun) meters.continuedStreams.increment()
                attempt(request, progress, destination) { attemptOrigin, data ->
                    val verdict = if (data == UpstreamClient.END_OF_STREAM) EventVerdict.NEW else progress.accept(data)
                    origin = origin ?: attemptOrigin
                    if (verdict == EventVerdict.NEW) steps.send(RelayedStep(origin, StreamStep.Event(data)))
                    verdict
                }
            }
        }
        steps.send(RelayedStep(origin, end.toFinalStep(request)))
        steps.close()
    }

    /** The inner failure ends the request without a retry: the stream cannot be continued. */
    private suspend fun attempt(
        request: GatewayRequest,
        progress: StreamProgress,
        destination: Destination,
        consume: suspend (ResponseOrigin, String) -> EventVerdict,
    ): Either<GatewayFailure, Either<GatewayFailure, Unit>> = when (val next = progress.continuation()) {
        is Continuation.Send -> send(request.copy(body = next.body), destination, consume).map { it.right() }

        is Continuation.Complete -> {
            consume(ResponseOrigin("", 0), UpstreamClient.END_OF_STREAM)
            Unit.right().right()
        }

        is Continuation.Impossible -> cannotContinue().left().right()
    }

    private suspend fun send(
        request: GatewayRequest,
        destination: Destination,
        consume: suspend (ResponseOrigin, String) -> EventVerdict,
    ): Either<GatewayFailure, Unit> = when (destination) {
        is Destination.Target -> dispatcher.stream(destination.item, request, consume)
        is Destination.Host -> forwarder.stream(destination.profile, request, consume)
    }

    private fun Either<GatewayFailure, Either<GatewayFailure, Unit>>.toFinalStep(request: GatewayRequest): StreamStep {
        val failure = fold({ it }, { it.leftOrNull() }) ?: return StreamStep.Completed
        meters.brokenStreams.increment()
        Part.REQUEST.warn("The stream of request ${request.id} could not be completed: ${failure.detail}.")
        return StreamStep.Broken(failure)
    }

    private fun failureOf(step: StreamStep): GatewayFailure = (step as? StreamStep.Broken)?.failure ?: cannotContinue()

    private fun cannotContinue(): GatewayFailure = GatewayFailure(
        step = Step.READ_ANSWER,
        peer = null,
        cause = FailureCause.BROKEN_ANSWER,
        detail = "the stream broke and a response of its kind cannot be continued",
        outcome = Outcome.UNKNOWN,
    )

    /** A step and, once the first event was received, the origin of the response. */
    private class RelayedStep(val origin: ResponseOrigin?, val step: StreamStep)
}
