package org.buckthornwheel.decision.ledger

import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableSet
import org.buckthornwheel.api.MonotonicInstant

/**
 * What a caller asks for: the action's [key], the hash of its body, whether it is marked as the first attempt, and
 * when the caller stops waiting.
 */
public data class AttemptRequest(
    public val key: ActionKey,
    public val bodySha256: String,
    public val first: Boolean,
    public val deadline: MonotonicInstant,
)

/**
 * One attempt at an action, from the claim to what the caller is told.
 *
 * Each call of [next] takes in what the last command brought about and returns the next command; only
 * [AttemptCommand.Dispatch] lets anything leave for a target, and it is returned at most once.
 */
public class ActionAttempt(
    private val order: AttemptRequest,
    private val ledger: ActionLedger,
    private val register: ZoneRegistry,
) {
    private var number = HoldNumber(0)
    private var heldBy: Hold? = null
    private var stale: AttemptCommand.Release? = null
    private var round: PromiseRound? = null
    private var afterwards: AttemptCommand? = null
    private var cycles = 0
    private var crossings = 0
    private var questions = 0
    private var alone = true

    private val hold: Hold get() = Hold(ledger.self, number)

    /** The first command, at [now]. */
    public fun start(now: MonotonicInstant): AttemptCommand {
        if (!register.hasCompleteHistory) return finish(uncertain("this host may not run actions yet"))
        heldBy = null
        stale = null
        questions = 0
        val decision = ledger.request(order.key, order.bodySha256, now)
        if (decision !is LedgerDecision.Proceed && decision !is LedgerDecision.Closed) alone = false
        return when (decision) {
            is LedgerDecision.Proceed -> claim(decision.number)
            is LedgerDecision.Busy -> AttemptCommand.Pause
            is LedgerDecision.FirstAnswer -> finish(AttemptVerdict.Result(decision.result, repeated = true))
            is LedgerDecision.HeldBy -> askPromised(decision.hold)
            is LedgerDecision.Conflict -> finish(AttemptVerdict.Conflict)
            is LedgerDecision.OutcomeLost -> finish(AttemptVerdict.Unknown(decision.detail))
            else -> finish(uncertain("this host takes no new actions"))
        }
    }

    /** The command that follows [event], at [now]. */
    public fun next(event: AttemptEvent, now: MonotonicInstant): AttemptCommand = when (event) {
        is AttemptEvent.ClaimWritten -> dispatch(promised = false, now)
        is AttemptEvent.ClaimPresent -> meet(event.present, now)
        is AttemptEvent.ClaimUnanswered -> openRound(now)
        is AttemptEvent.PromisesAnswered -> follow(requireNotNull(round).take(event.answers), now)
        is AttemptEvent.HolderAnswered -> hear(event.answer, now)
        is AttemptEvent.Done -> resume(now)
        is AttemptEvent.RunEnded -> end(event.result, now)
    }

    private fun claim(given: HoldNumber): AttemptCommand {
        number = given
        return AttemptCommand.CreateClaim(ActionClaim(order.key, order.bodySha256, hold))
    }

    private fun dispatch(promised: Boolean, now: MonotonicInstant): AttemptCommand {
        if (now >= order.deadline) return giveUp("the deadline has passed", now)
        val decision = ledger.start(order.key, number, now)
        if (decision is LedgerDecision.Proceed) return AttemptCommand.Dispatch(hold, promised)
        return releaseThen(AttemptCommand.Pause)
    }

    /** A claim of this very incarnation that has not been run is its own, whichever of its writes brought it there. */
    private fun meet(present: ActionClaim, now: MonotonicInstant): AttemptCommand {
        if (present.bodySha256 != order.bodySha256) {
            ledger.abandon(order.key, number, now)
            return finish(AttemptVerdict.Conflict)
        }
        val result = present.result
        if (result != null) return learn(result, now)
        if (present.hold.holder == ledger.self) return dispatch(promised = false, now)
        ledger.abandon(order.key, number, now)
        return askHolder(present.hold.holder)
    }

    private fun openRound(now: MonotonicInstant): AttemptCommand {
        val opened = PromiseRound(order.key, hold, ledger, register)
        round = opened
        return follow(opened.begin(), now)
    }

    private fun follow(state: RoundState, now: MonotonicInstant): AttemptCommand = when (state) {
        is RoundState.Won -> dispatch(promised = true, now)
        is RoundState.Incomplete -> AttemptCommand.AskPromises(hold, state.toAsk)
        is RoundState.Withdrawn -> withdraw(state, now)
        is RoundState.Crossed -> crossed(now)
        is RoundState.Failed -> roundFailed(state.peer, now)
    }

    private fun crossed(now: MonotonicInstant): AttemptCommand {
        alone = false
        crossings += 1
        return if (crossings < MAXIMUM_CROSSINGS) AttemptCommand.Pause else roundFailed(peer = null, now)
    }

    private fun withdraw(state: RoundState.Withdrawn, now: MonotonicInstant): AttemptCommand {
        ledger.abandon(order.key, number, now)
        stale = state.promised?.let { AttemptCommand.Release(it, persistentSetOf(state.peer)) }
        return releaseThen(askHolder(state.holder))
    }

    private fun askHolder(holder: RegisteredHost): AttemptCommand {
        alone = false
        questions += 1
        return if (questions > MAXIMUM_QUESTIONS) AttemptCommand.Pause else AttemptCommand.AskHolder(holder)
    }

    private fun roundFailed(peer: RegisteredHost?, now: MonotonicInstant): AttemptCommand {
        cycles += 1
        val reason = peer?.let { "$it did not promise" } ?: "no other host is registered in the zone"
        if (cycles >= MAXIMUM_CYCLES || now >= order.deadline) return giveUp(reason, now)
        ledger.abandon(order.key, number, now)
        return releaseThen(AttemptCommand.Pause)
    }

    private fun giveUp(reason: String, now: MonotonicInstant): AttemptCommand {
        val abandoned = ledger.abandon(order.key, number, now)
        val detail = "the action could not be claimed: $reason"
        val verdict = if (abandoned is LedgerDecision.Accepted) uncertain(detail) else AttemptVerdict.Unknown(detail)
        return releaseThen(finish(verdict))
    }

    private fun releaseThen(command: AttemptCommand): AttemptCommand {
        val peers = round?.asked().orEmpty().toImmutableSet()
        round = null
        if (peers.isEmpty()) return command
        afterwards = command
        return AttemptCommand.Release(hold, peers)
    }

    private fun resume(now: MonotonicInstant): AttemptCommand {
        afterwards?.let {
            afterwards = null
            return it
        }
        val open = round
        if (open != null) return follow(open.begin(), now)
        if (now >= order.deadline) return finish(AttemptVerdict.Unknown("the deadline has passed"))
        return start(now)
    }

    private fun askPromised(promisedTo: Hold): AttemptCommand {
        heldBy = promisedTo
        return askHolder(promisedTo.holder)
    }

    private fun hear(answer: HolderAnswer?, now: MonotonicInstant): AttemptCommand = when (answer) {
        is HolderAnswer.Ended -> learn(answer.result, now)
        is HolderAnswer.Elsewhere -> if (answer.holder ==
            ledger.self
        ) {
            AttemptCommand.Pause
        } else {
            askHolder(answer.holder)
        }
        is HolderAnswer.Busy -> AttemptCommand.Pause
        is HolderAnswer.NotHeld -> holderHasNot(now)
        is HolderAnswer.Conflict -> finish(AttemptVerdict.Conflict)
        null -> finish(AttemptVerdict.Unknown("the host that holds the action's key does not answer"))
    }

    /** A holder that has nothing will not run what it held, so the promises given to it end. */
    private fun holderHasNot(now: MonotonicInstant): AttemptCommand {
        heldBy?.let { ledger.release(order.key, it, now) }
        val release = stale ?: return AttemptCommand.Pause
        stale = null
        afterwards = AttemptCommand.Pause
        return release
    }

    private fun learn(result: ActionResult, now: MonotonicInstant): AttemptCommand {
        ledger.learn(ActionEntry(order.key, order.bodySha256, KnownState.Ended(result)), now)
        return finish(verdictOf(result, repeated = true))
    }

    private fun end(result: ActionResult, now: MonotonicInstant): AttemptCommand {
        ledger.end(order.key, number, result, now)
        return finish(verdictOf(result, repeated = false))
    }

    private fun verdictOf(result: ActionResult, repeated: Boolean): AttemptVerdict = when (result) {
        is ActionResult.Answered -> AttemptVerdict.Result(result, repeated)
        is ActionResult.NotRun -> AttemptVerdict.NotRun(result.detail)
        is ActionResult.Lost -> AttemptVerdict.Unknown(result.detail)
    }

    /** Only a first attempt that ran nothing knows that nobody has. */
    private fun uncertain(detail: String): AttemptVerdict =
        if (order.first && alone) AttemptVerdict.NotRun(detail) else AttemptVerdict.Unknown(detail)

    private fun finish(verdict: AttemptVerdict): AttemptCommand = AttemptCommand.Finish(verdict)

    private companion object {
        const val MAXIMUM_CYCLES = 3
        const val MAXIMUM_CROSSINGS = 20
        const val MAXIMUM_QUESTIONS = 3
    }
}
