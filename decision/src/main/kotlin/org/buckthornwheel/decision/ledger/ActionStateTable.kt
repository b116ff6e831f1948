package org.buckthornwheel.decision.ledger

import org.buckthornwheel.decision.ledger.ActionState.Claimed
import org.buckthornwheel.decision.ledger.ActionState.Completed
import org.buckthornwheel.decision.ledger.ActionState.Promised
import org.buckthornwheel.decision.ledger.ActionState.Running
import org.buckthornwheel.decision.ledger.ActionState.Unknown
import org.buckthornwheel.decision.ledger.ActionState.Unseen

/** Result of an event: the new state of the key and the answer. */
public data class Transition(public val state: ActionState, public val decision: LedgerDecision)

/**
 * State transition table of a key on one host, with a transition for every state and event.
 *
 * Two rules guarantee at-most-once execution. A promise to a host ends only when its hold is released or the result of
 * the action becomes known, and [Running] is entered only from [Claimed] with the same hold number.
 */
public object ActionStateTable {
    /** Applies [event] to a key in [state]. */
    public fun apply(state: ActionState, event: ActionEvent): Transition = when (event) {
        is ActionEvent.Requested -> requested(state, event)
        is ActionEvent.Started -> started(state, event)
        is ActionEvent.Ended -> ended(state, event)
        is ActionEvent.Abandoned -> abandoned(state, event)
        is ActionEvent.PromiseAsked -> promiseAsked(state, event)
        is ActionEvent.Released -> released(state, event)
        is ActionEvent.ResultAsked -> keep(state, resultAsked(state, event))
        is ActionEvent.Learned -> learned(state, event)
    }

    private fun requested(state: ActionState, event: ActionEvent.Requested): Transition {
        if (differs(state, event.bodySha256)) return keep(state, LedgerDecision.Conflict)
        return when (state) {
            Unseen -> Transition(Claimed(event.bodySha256, event.number), LedgerDecision.Proceed(event.number))
            is Promised -> keep(state, LedgerDecision.HeldBy(state.hold))
            is Claimed, is Running -> keep(state, LedgerDecision.Busy)
            is Completed -> keep(state, LedgerDecision.FirstAnswer(state.result))
            is Unknown -> keep(state, LedgerDecision.OutcomeLost(state.detail))
        }
    }

    private fun started(state: ActionState, event: ActionEvent.Started): Transition = when (state) {
        is Claimed if state.number == event.number ->
            Transition(Running(state.bodySha256, state.number), LedgerDecision.Proceed(state.number))

        is Claimed, is Promised, is Running, is Completed, is Unknown, Unseen -> keep(state, LedgerDecision.Ignored)
    }

    private fun ended(state: ActionState, event: ActionEvent.Ended): Transition = when (state) {
        is Running if state.number == event.number ->
            Transition(stateAfter(state.bodySha256, event.result), LedgerDecision.Accepted)

        is Running, is Claimed, is Promised, is Completed, is Unknown, Unseen -> keep(state, LedgerDecision.Ignored)
    }

    private fun abandoned(state: ActionState, event: ActionEvent.Abandoned): Transition = when (state) {
        is Claimed if state.number == event.number -> Transition(Unseen, LedgerDecision.Accepted)
        is Claimed, is Running, is Promised, is Completed, is Unknown, Unseen -> keep(state, LedgerDecision.Ignored)
    }

    private fun promiseAsked(state: ActionState, event: ActionEvent.PromiseAsked): Transition = when (state) {
        Unseen -> grant(event)
        is Promised -> promiseAskedAgain(state, event)
        is Claimed -> promiseAskedOfClaimant(state, event)
        is Running, is Completed, is Unknown -> keep(state, LedgerDecision.Seen(hold = null))
    }

    /** The holder may ask again with the same or a later hold; a delayed message of an older hold changes nothing. */
    private fun promiseAskedAgain(state: Promised, event: ActionEvent.PromiseAsked): Transition {
        val sameHolder = state.hold.holder == event.hold.holder
        if (differs(state, event.bodySha256) || !sameHolder || event.hold.number < state.hold.number) {
            return keep(state, LedgerDecision.Seen(state.hold))
        }
        return grant(event)
    }

    /** Nothing has been sent yet, so of two competing hosts the preferred one gets the promise of the other. */
    private fun promiseAskedOfClaimant(state: Claimed, event: ActionEvent.PromiseAsked): Transition {
        if (differs(state, event.bodySha256) || !event.preferred) return keep(state, LedgerDecision.Seen(hold = null))
        return grant(event)
    }

    private fun grant(event: ActionEvent.PromiseAsked): Transition =
        Transition(Promised(event.bodySha256, event.hold), LedgerDecision.Granted)

    private fun released(state: ActionState, event: ActionEvent.Released): Transition = when (state) {
        is Promised if state.hold == event.hold -> Transition(Unseen, LedgerDecision.Accepted)
        is Promised, is Claimed, is Running, is Completed, is Unknown, Unseen -> keep(state, LedgerDecision.Ignored)
    }

    private fun resultAsked(state: ActionState, event: ActionEvent.ResultAsked): LedgerDecision {
        if (differs(state, event.bodySha256)) return LedgerDecision.Conflict
        return when (state) {
            Unseen -> LedgerDecision.NotHeld
            is Promised -> LedgerDecision.HeldBy(state.hold)
            is Claimed, is Running -> LedgerDecision.Busy
            is Completed -> LedgerDecision.FirstAnswer(state.result)
            is Unknown -> LedgerDecision.OutcomeLost(state.detail)
        }
    }

    private fun learned(state: ActionState, event: ActionEvent.Learned): Transition = when (state) {
        Unseen, is Claimed -> Transition(stateOf(event), LedgerDecision.Accepted)
        is Promised, is Unknown -> learnedResult(state, event)
        is Running, is Completed -> keep(state, LedgerDecision.Ignored)
    }

    private fun learnedResult(state: ActionState, event: ActionEvent.Learned): Transition {
        if (event.state !is KnownState.Ended) return keep(state, LedgerDecision.Ignored)
        return Transition(stateOf(event), LedgerDecision.Accepted)
    }

    private fun stateOf(event: ActionEvent.Learned): ActionState = when (val known = event.state) {
        is KnownState.HeldElsewhere -> Promised(event.bodySha256, known.hold)
        is KnownState.Ended -> stateAfter(event.bodySha256, known.result)
    }

    private fun stateAfter(bodySha256: String, result: ActionResult): ActionState = when (result) {
        is ActionResult.Answered, is ActionResult.NotRun -> Completed(bodySha256, result)
        is ActionResult.Lost -> Unknown(bodySha256, result.detail)
    }

    private fun differs(state: ActionState, bodySha256: String): Boolean =
        state.bodySha256 != null && state.bodySha256 != bodySha256

    private fun keep(state: ActionState, decision: LedgerDecision): Transition = Transition(state, decision)
}
