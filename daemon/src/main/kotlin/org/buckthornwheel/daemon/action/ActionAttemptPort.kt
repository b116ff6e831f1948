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

/** What one run at a target came to: the result to be remembered, and the answer as this caller gets it. */
internal data class ActionRun(val result: ActionResult, val answer: BufferedResponse?)

/** Carries out the commands of one attempt against the platform, the zone's other hosts and a target. */
internal class ActionAttemptPort(
    private val order: AttemptRequest,
    private val claims: ClaimStore,
    private val peers: ActionPeers,
    private val recorder: ResultRecorder,
    private val dispatch: suspend () -> ActionRun,
) : AttemptPort {
    private var version: Long? = null

    /** The answer of the run, if this attempt has run the action. */
    var answer: BufferedResponse? = null
        private set

    override suspend fun perform(command: AttemptCommand): AttemptEvent = when (command) {
        is AttemptCommand.CreateClaim -> createClaim(command.claim)
        is AttemptCommand.AskPromises -> askPromises(command)
        is AttemptCommand.Release -> release(command)
        is AttemptCommand.AskHolder -> askHolder(command.holder)
        is AttemptCommand.Pause -> pause()
        is AttemptCommand.Dispatch -> run(command)
        is AttemptCommand.Finish -> error("nothing follows the end of an attempt")
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
        val answers = command.peers.map { peer -> async { peer to askPromise(peer, command.hold) } }.awaitAll()
        AttemptEvent.PromisesAnswered(answers.toMap().toImmutableMap())
    }

    private suspend fun askPromise(peer: RegisteredHost, hold: Hold): PromiseAnswer =
        peers.send(AskPromise(peer, order.key, order.bodySha256, hold)).fold(
            ifLeft = { PromiseAnswer.Silent },
            ifRight = { (it as? PromiseResponse)?.answer ?: PromiseAnswer.NotGiven },
        )

    private suspend fun release(command: AttemptCommand.Release): AttemptEvent = coroutineScope {
        command.peers.map { async { peers.send(ReleasePromise(it, order.key, command.hold)) } }.awaitAll()
        AttemptEvent.Done
    }

    private suspend fun askHolder(holder: RegisteredHost): AttemptEvent {
        val response = peers.call<ResultResponse>(AskResult(holder, order.key, order.bodySha256))
        return AttemptEvent.HolderAnswered(response.getOrNull()?.answer)
    }

    private suspend fun pause(): AttemptEvent {
        delay(PAUSE)
        return AttemptEvent.Done
    }

    private suspend fun run(command: AttemptCommand.Dispatch): AttemptEvent {
        val run = dispatch()
        answer = run.answer
        val claim = ActionClaim(order.key, order.bodySha256, command.hold, run.result)
        recorder.record(PendingResult(claim, version.takeIf { !command.promised }), command.promised)
        return AttemptEvent.RunEnded(run.result)
    }

    private companion object {
        val PAUSE = 50.milliseconds
    }
}
