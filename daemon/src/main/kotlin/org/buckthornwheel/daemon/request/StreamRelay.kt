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
 * Brings a streamed answer to the caller: each event once, in order, and an explicit end.
 *
 * A stream that breaks is continued by another attempt from what the caller has; one that cannot be continued ends in
 * an error event. When the caller leaves, the attempt in progress is cancelled and with it the engine's work.
 */
internal class StreamRelay(
    private val attempts: RequestAttempts,
    private val dispatcher: TargetDispatcher,
    private val forwarder: PeerForwarder,
    private val meters: RequestMeters,
) {
    /** Streams the answer of [request] to [responder]; a failure is returned only if nothing was written. */
    suspend fun serve(request: GatewayRequest, responder: Responder): Either<GatewayFailure, Unit> = coroutineScope {
        val steps = Channel<RelayedStep>()
        val producer = launch { produce(request, steps) }
        val first = steps.receive()
        val origin = first.origin
        val result = if (origin == null) {
            failureOf(first.step).left()
        } else {
            write(request, responder, origin, following(first, steps))
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
        var isWhole = false
        try {
            responder.stream(origin, steps.onEach { if (it is StreamStep.Completed) isWhole = true })
        } catch (_: CancellationException) {
            currentCoroutineContext().ensureActive()
            if (!isWhole) abandoned(request)
        } catch (_: Exception) {
            if (!isWhole) abandoned(request)
        }
        return Unit.right()
    }

    private fun abandoned(request: GatewayRequest) {
        meters.abandoned.increment()
        Part.REQUEST.info("The caller of request ${request.id} left before the end of its answer.")
    }

    private fun following(first: RelayedStep, steps: ReceiveChannel<RelayedStep>): Flow<StreamStep> = flow {
        emit(first.step)
        for (next in steps) emit(next.step)
    }

    private suspend fun produce(request: GatewayRequest, steps: SendChannel<RelayedStep>) {
        val progress = StreamProgress(request.body)
        var origin: ResponseOrigin? = null
        val end = attempts.run(request) { destination ->
            if (progress.hasBegun) meters.continuedStreams.increment()
            continued(request, progress, destination) { answering, data ->
                val verdict = if (data == UpstreamClient.END_OF_STREAM) EventVerdict.NEW else progress.accept(data)
                origin = origin ?: answering
                if (verdict == EventVerdict.NEW) steps.send(RelayedStep(origin, StreamStep.Event(data)))
                verdict
            }
        }
        steps.send(RelayedStep(origin, end.flatten(request)))
        steps.close()
    }

    private suspend fun continued(
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

        is Continuation.Impossible -> notContinued().left().right()
    }

    private suspend fun send(
        request: GatewayRequest,
        destination: Destination,
        consume: suspend (ResponseOrigin, String) -> EventVerdict,
    ): Either<GatewayFailure, Unit> = when (destination) {
        is Destination.Target -> dispatcher.stream(destination.item, request, consume)
        is Destination.Host -> forwarder.stream(destination.profile, request, consume)
    }

    private fun Either<GatewayFailure, Either<GatewayFailure, Unit>>.flatten(request: GatewayRequest): StreamStep {
        val failure = fold({ it }, { it.leftOrNull() }) ?: return StreamStep.Completed
        meters.brokenStreams.increment()
        Part.REQUEST.warn("The stream of request ${request.id} could not be completed: ${failure.detail}.")
        return StreamStep.Broken(failure)
    }

    private fun failureOf(step: StreamStep): GatewayFailure = (step as? StreamStep.Broken)?.failure ?: notContinued()

    private fun notContinued(): GatewayFailure = GatewayFailure(
        step = Step.READ_ANSWER,
        peer = null,
        cause = FailureCause.BROKEN_ANSWER,
        detail = "the stream broke and its answer is of a kind that cannot be continued",
        outcome = Outcome.UNKNOWN,
    )

    /** A step and, once the first event has come, who answers. */
    private class RelayedStep(val origin: ResponseOrigin?, val step: StreamStep)
}
