package org.buckthornwheel.daemon.action

import kotlinx.collections.immutable.toImmutableMap
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.buckthornwheel.daemon.request.BufferedResponse
import org.buckthornwheel.decision.ledger.ActionClaim
import org.buckthornwheel.decision.ledger.ActionResult
import org.buckthornwheel.decision.ledger.AttemptCommand
import org.buckthornwheel.decision.ledger.AttemptEvent
import org.buckthornwheel.decision.ledger.AttemptPort
import org.buckthornwheel.decision.ledger.AttemptRequest
import org.buckthornwheel.decision.ledger.Hold
import org.buckthornwheel.decision.ledger.PromiseAnswer
import org.buckthornwheel.decision.ledger.RegisteredHost
import org.buckthornwheel.protocol.peer.AskPromise
import org.buckthornwheel.protocol.peer.AskResult
import org.buckthornwheel.protocol.peer.PromiseResponse
import org.buckthornwheel.protocol.peer.ReleasePromise
import org.buckthornwheel.protocol.peer.ResultResponse
import kotlin.time.Duration.Companion.milliseconds

/** The outcome of one run at a target: the result to be recorded, and the response for this caller. */
internal data class ActionRun(val result: ActionResult, val response: BufferedResponse?)

/** Carries out the commands of one attempt by calls to the platform, the zone's other hosts and a target. */
internal class ActionAttemptPort(
    private val request: AttemptRequest,
    private val claims: ClaimStore,
    private val peers: ActionPeers,
    private val recorder: ResultRecorder,
    private val dispatch: suspend () -> ActionRun,
) : AttemptPort {
    private var version: Long? = null

    /** The target's response, if this attempt has run the action. */
    var response: BufferedResponse? = null
        private set

    override suspend fun perform(command: AttemptCommand): AttemptEvent = when (command) {
        is AttemptCommand.CreateClaim -> createClaim(command.claim)
        is AttemptCommand.AskPromises -> askPromises(command)
        is AttemptCommand.Release -> release(command)
        is AttemptCommand.AskHolder -> askHolder(command.holder)
        is AttemptCommand.Pause -> pause()
        is AttemptCommand.Dispatch -> run(command)
        is AttemptCommand.Finish -> error("a finished attempt has no command to carry out")
    }

    private suspend fun createClaim(claim: ActionClaim): AttemptEvent = claims.create(claim).fold(
        ifLeft = { AttemptEvent.ClaimUnanswered },
        ifRight = { write ->
            when (write) {
                is ClaimWrite.Written -> AttemptEvent.ClaimWritten.also { version = write.version }
                is ClaimWrite.Present -> AttemptEvent.ClaimPresent(write.claim).also { version = write.version }
            }
        },
    )

    private suspend fun askPromises(command: AttemptCommand.AskPromises): AttemptEvent = coroutineScope {
        val responses = command.peers.map { peer -> async { peer to askPromise(peer, command.hold) } }.awaitAll()
        AttemptEvent.PromisesAnswered(responses.toMap().toImmutableMap())
    }

    private suspend fun askPromise(peer: RegisteredHost, hold: Hold): PromiseAnswer =
        peers.send(AskPromise(peer, request.key, request.bodySha256, hold)).fold(
            ifLeft = { PromiseAnswer.Silent },
            ifRight = { (it as? PromiseResponse)?.answer ?: PromiseAnswer.NotGiven },
        )

    private suspend fun release(command: AttemptCommand.Release): AttemptEvent = coroutineScope {
        command.peers.map { async { peers.send(ReleasePromise(it, request.key, command.hold)) } }.awaitAll()
        AttemptEvent.Done
    }

    private suspend fun askHolder(holder: RegisteredHost): AttemptEvent {
        val response = peers.call<ResultResponse>(AskResult(holder, request.key, request.bodySha256))
        return AttemptEvent.HolderAnswered(response.getOrNull()?.answer)
    }

    private suspend fun pause(): AttemptEvent {
        delay(PAUSE_DURATION)
        return AttemptEvent.Done
    }

    private suspend fun run(command: AttemptCommand.Dispatch): AttemptEvent {
        val run = dispatch()
        response = run.response
        val claim = ActionClaim(request.key, request.bodySha256, command.hold, run.result)
        recorder.record(PendingResult(claim, version.takeIf { !command.promised }), command.promised)
        return AttemptEvent.RunEnded(run.result)
    }

    private companion object {
        val PAUSE_DURATION = 50.milliseconds
    }
}
