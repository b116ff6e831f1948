package org.buckthornwheel.decision.ledger

import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableSet
import org.buckthornwheel.api.MonotonicInstant

/**
 * A caller's request for an action.
 *
 * @property isFirstAttempt whether the caller marked the request as its first attempt at the action.
 * @property deadline when the caller stops waiting.
 */
public data class AttemptRequest(
    public val key: ActionKey,
    public val bodySha256: String,
    public val isFirstAttempt: Boolean,
    public val deadline: MonotonicInstant,
)

/**
 * State machine of one attempt at an action, from claiming the key to the verdict for the caller.
 *
 * Each call of [next] processes the result of the last command and returns the next command. Only
 * [AttemptCommand.Dispatch] sends anything to a target, and it is returned at most once.
 */
public class ActionAttempt(
    private val request: AttemptRequest,
    private val ledger: ActionLedger,
    private val registry: ZoneRegistry,
) {
    private var number = HoldNumber(0)
    private var promisedHold: Hold? = null
    private var stalePromiseRelease: AttemptCommand.Release? = null
    private var round: PromiseRound? = null
    private var commandAfterRelease: AttemptCommand? = null
    private var failedRounds = 0
    private var contendedRounds = 0
    private var holderQueries = 0
    private var noOtherHolder = true

    private val hold: Hold get() = Hold(ledger.self, number)

    /** Starts the attempt, or restarts it after a pause, and returns the next command. */
    public fun start(now: MonotonicInstant): AttemptCommand {
        if (!registry.hasCompleteHistory) return finish(verdictWithoutRun("this host may not run actions yet"))
        promisedHold = null
        stalePromiseRelease = null
        holderQueries = 0
        val decision = ledger.request(request.key, request.bodySha256, now)
        if (decision !is LedgerDecision.Proceed && decision !is LedgerDecision.Closed) noOtherHolder = false
        return when (decision) {
            is LedgerDecision.Proceed -> claim(decision.number)
            is LedgerDecision.Busy -> AttemptCommand.Pause
            is LedgerDecision.FirstAnswer -> finish(AttemptVerdict.Result(decision.result, repeated = true))
            is LedgerDecision.HeldBy -> askPromisedHolder(decision.hold)
            is LedgerDecision.Conflict -> finish(AttemptVerdict.Conflict)
            is LedgerDecision.OutcomeLost -> finish(AttemptVerdict.Unknown(decision.detail))
            else -> finish(verdictWithoutRun("this host accepts no new actions"))
        }
    }

    /** Processes [event], the result of the last command, and returns the next command. */
    public fun next(event: AttemptEvent, now: MonotonicInstant): AttemptCommand = when (event) {
        is AttemptEvent.ClaimWritten -> dispatch(promised = false, now)
        is AttemptEvent.ClaimPresent -> handlePresentClaim(event.present, now)
        is AttemptEvent.ClaimUnanswered -> startRound(now)
        is AttemptEvent.PromisesAnswered -> continueRound(requireNotNull(round).process(event.answers), now)
        is AttemptEvent.HolderAnswered -> handleHolderAnswer(event.answer, now)
        is AttemptEvent.Done -> resume(now)
        is AttemptEvent.RunEnded -> recordResult(event.result, now)
    }

    private fun claim(claimedNumber: HoldNumber): AttemptCommand {
        number = claimedNumber
        return AttemptCommand.CreateClaim(ActionClaim(request.key, request.bodySha256, hold))
    }

    private fun dispatch(promised: Boolean, now: MonotonicInstant): AttemptCommand {
        if (now >= request.deadline) return giveUp("the deadline has passed", now)
        val decision = ledger.start(request.key, number, now)
        if (decision is LedgerDecision.Proceed) return AttemptCommand.Dispatch(hold, promised)
        return releaseThen(AttemptCommand.Pause)
    }

    /**
     * Handles a claim that the platform's service already holds.
     *
     * A claim of this incarnation without a result belongs to this attempt, whichever of its writes created it.
     */
    private fun handlePresentClaim(present: ActionClaim, now: MonotonicInstant): AttemptCommand {
        if (present.bodySha256 != request.bodySha256) {
            ledger.abandon(request.key, number, now)
            return finish(AttemptVerdict.Conflict)
        }
        val result = present.result
        if (result != null) return adoptResult(result, now)
        if (present.hold.holder == ledger.self) return dispatch(promised = false, now)
        ledger.abandon(request.key, number, now)
        return askHolder(present.hold.holder)
    }

    private fun startRound(now: MonotonicInstant): AttemptCommand {
        val newRound = PromiseRound(request.key, hold, ledger, registry)
        round = newRound
        return continueRound(newRound.begin(), now)
    }

    private fun continueRound(state: RoundState, now: MonotonicInstant): AttemptCommand = when (state) {
        is RoundState.Won -> dispatch(promised = true, now)
        is RoundState.Incomplete -> AttemptCommand.AskPromises(hold, state.toAsk)
        is RoundState.Yielded -> yieldToHolder(state, now)
        is RoundState.Contended -> handleContention(now)
        is RoundState.Failed -> roundFailed(state.peer, now)
    }

    private fun handleContention(now: MonotonicInstant): AttemptCommand {
        noOtherHolder = false
        contendedRounds += 1
        return if (contendedRounds < MAXIMUM_CONTENDED_ROUNDS) AttemptCommand.Pause else roundFailed(peer = null, now)
    }

    private fun yieldToHolder(state: RoundState.Yielded, now: MonotonicInstant): AttemptCommand {
        ledger.abandon(request.key, number, now)
        stalePromiseRelease = state.promised?.let { AttemptCommand.Release(it, persistentSetOf(state.peer)) }
        return releaseThen(askHolder(state.holder))
    }

    private fun askHolder(holder: RegisteredHost): AttemptCommand {
        noOtherHolder = false
        holderQueries += 1
        return if (holderQueries > MAXIMUM_HOLDER_QUERIES) AttemptCommand.Pause else AttemptCommand.AskHolder(holder)
    }

    private fun roundFailed(peer: RegisteredHost?, now: MonotonicInstant): AttemptCommand {
        failedRounds += 1
        val reason = peer?.let { "$it did not give its promise" } ?: "no other host is registered in the zone"
        if (failedRounds >= MAXIMUM_FAILED_ROUNDS || now >= request.deadline) return giveUp(reason, now)
        ledger.abandon(request.key, number, now)
        return releaseThen(AttemptCommand.Pause)
    }

    private fun giveUp(reason: String, now: MonotonicInstant): AttemptCommand {
        val abandoned = ledger.abandon(request.key, number, now)
        val detail = "the action could not be claimed: $reason"
        val verdict =
            if (abandoned is LedgerDecision.Accepted) verdictWithoutRun(detail) else AttemptVerdict.Unknown(detail)
        return releaseThen(finish(verdict))
    }

    private fun releaseThen(command: AttemptCommand): AttemptCommand {
        val peers = round?.askedPeers().orEmpty().toImmutableSet()
        round = null
        if (peers.isEmpty()) return command
        commandAfterRelease = command
        return AttemptCommand.Release(hold, peers)
    }

    private fun resume(now: MonotonicInstant): AttemptCommand {
        commandAfterRelease?.let {
            commandAfterRelease = null
            return it
        }
        val open = round
        if (open != null) return continueRound(open.begin(), now)
        if (now >= request.deadline) return finish(AttemptVerdict.Unknown("the deadline has passed"))
        return start(now)
    }

    private fun askPromisedHolder(promised: Hold): AttemptCommand {
        promisedHold = promised
        return askHolder(promised.holder)
    }

    private fun handleHolderAnswer(answer: HolderAnswer?, now: MonotonicInstant): AttemptCommand = when (answer) {
        is HolderAnswer.Ended -> adoptResult(answer.result, now)
        is HolderAnswer.Elsewhere -> if (answer.holder == ledger.self) {
            AttemptCommand.Pause
        } else {
            askHolder(answer.holder)
        }
        is HolderAnswer.Busy -> AttemptCommand.Pause
        is HolderAnswer.NotHeld -> handleNotHeld(now)
        is HolderAnswer.Conflict -> finish(AttemptVerdict.Conflict)
        null -> finish(AttemptVerdict.Unknown("the host that holds the action's key does not answer"))
    }

    /** Releases the promises given to the holder, which no longer has the key and will not run the action. */
    private fun handleNotHeld(now: MonotonicInstant): AttemptCommand {
        promisedHold?.let { ledger.release(request.key, it, now) }
        val release = stalePromiseRelease ?: return AttemptCommand.Pause
        stalePromiseRelease = null
        commandAfterRelease = AttemptCommand.Pause
        return release
    }

    private fun adoptResult(result: ActionResult, now: MonotonicInstant): AttemptCommand {
        ledger.learn(ActionEntry(request.key, request.bodySha256, KnownState.Ended(result)), now)
        return finish(verdictOf(result, repeated = true))
    }

    private fun recordResult(result: ActionResult, now: MonotonicInstant): AttemptCommand {
        ledger.end(request.key, number, result, now)
        return finish(verdictOf(result, repeated = false))
    }

    private fun verdictOf(result: ActionResult, repeated: Boolean): AttemptVerdict = when (result) {
        is ActionResult.Answered -> AttemptVerdict.Result(result, repeated)
        is ActionResult.NotRun -> AttemptVerdict.NotRun(result.detail)
        is ActionResult.Lost -> AttemptVerdict.Unknown(result.detail)
    }

    /**
     * The verdict of an attempt that ran nothing.
     *
     * Only the first attempt can rule out a run by another attempt, and only if it met no other holder of the key.
     */
    private fun verdictWithoutRun(detail: String): AttemptVerdict =
        if (request.isFirstAttempt && noOtherHolder) AttemptVerdict.NotRun(detail) else AttemptVerdict.Unknown(detail)

    private fun finish(verdict: AttemptVerdict): AttemptCommand = AttemptCommand.Finish(verdict)

    private companion object {
        const val MAXIMUM_FAILED_ROUNDS = 3
        const val MAXIMUM_CONTENDED_ROUNDS = 20
        const val MAXIMUM_HOLDER_QUERIES = 3
    }
}
