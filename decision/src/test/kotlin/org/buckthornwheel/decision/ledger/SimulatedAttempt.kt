package org.buckthornwheel.decision.ledger

import kotlinx.collections.immutable.toImmutableMap
import org.buckthornwheel.decision.ledger.ActionResult.Answered
import kotlin.coroutines.resume
import kotlin.coroutines.suspendCoroutine

/** Carries out the commands of one attempt on a simulated host. */
internal class SimulatedAttempt(
    private val zone: SimulatedZone,
    private val host: SimulatedHost,
    private val request: AttemptRequest,
) : AttemptPort {
    private val random = zone.network.random

    override suspend fun perform(command: AttemptCommand): AttemptEvent = when (command) {
        is AttemptCommand.CreateClaim -> createClaim(command.claim)

        is AttemptCommand.AskPromises -> AttemptEvent.PromisesAnswered(
            command.peers.associateWith { askPromise(it, command.hold) }.toImmutableMap(),
        )

        is AttemptCommand.Release -> release(command)

        is AttemptCommand.AskHolder -> AttemptEvent.HolderAnswered(
            host.askPeer(command.holder) { it.resultOf(request.key, request.bodySha256, host.clock.now()) }.getOrNull(),
        )

        is AttemptCommand.Pause -> {
            zone.network.pause(host)
            AttemptEvent.Done
        }

        is AttemptCommand.Dispatch -> AttemptEvent.RunEnded(dispatch(command))

        is AttemptCommand.Finish -> error("no command follows the end of an attempt")
    }

    private suspend fun createClaim(claim: ActionClaim): AttemptEvent = host.askPlatform {
        val present = zone.platform.claims.putIfAbsent(claim.key, claim)
        if (present == null || present.hold == claim.hold) {
            AttemptEvent.ClaimWritten
        } else {
            AttemptEvent.ClaimPresent(present)
        }
    }.getOrNull() ?: AttemptEvent.ClaimUnanswered

    private suspend fun askPromise(peer: RegisteredHost, hold: Hold): PromiseAnswer =
        host.askPeer(peer) { it.promise(request.key, request.bodySha256, hold, host.clock.now()) }
            .getOrNull() ?: PromiseAnswer.Silent

    private suspend fun release(command: AttemptCommand.Release): AttemptEvent {
        command.peers.forEach { peer -> host.askPeer(peer) { it.release(request.key, command.hold, host.clock.now()) } }
        return AttemptEvent.Done
    }

    private suspend fun dispatch(command: AttemptCommand.Dispatch): ActionResult {
        if (command.promised) zone.promisedRuns += 1
        if (random.nextInt(8) == 0) return ActionResult.NotRun("connection refused")
        wait(random.nextInt(40))
        val effect = zone.takeEffect(request.key, host.self)
        wait(random.nextInt(40))
        if (random.nextInt(8) == 0) return ActionResult.Lost("the answer was lost")
        val result = Answered(200, null, effect, "target")
        zone.start { record(command.hold, result) }
        return result
    }

    private suspend fun record(hold: Hold, result: ActionResult) {
        val claim = ActionClaim(request.key, request.bodySha256, hold, result)
        host.askPlatform {
            val present = zone.platform.claims[request.key]
            if (present == null || present.hold.holder == host.self) zone.platform.claims[request.key] = claim
        }
    }

    private suspend fun wait(steps: Int): Unit = suspendCoroutine { continuation ->
        zone.network.schedule(host, steps) { continuation.resume(Unit) }
    }
}
