/*
 * The commands that an attempt issues, the events that it gets back, and its final verdict.
 */

package org.buckthornwheel.decision.ledger

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet

/** The next step of an attempt, to be carried out by an [AttemptPort]. */
public sealed interface AttemptCommand {
    /** Create [claim] in the platform's service unless its key already exists there. */
    public data class CreateClaim(public val claim: ActionClaim) : AttemptCommand

    /** Ask each of [peers] to promise the key to [hold]. */
    public data class AskPromises(public val hold: Hold, public val peers: ImmutableSet<RegisteredHost>) :
        AttemptCommand

    /** Notify [peers] that [hold] has ended without a run. */
    public data class Release(public val hold: Hold, public val peers: ImmutableSet<RegisteredHost>) : AttemptCommand

    /** Query [holder] for the result of the action. */
    public data class AskHolder(public val holder: RegisteredHost) : AttemptCommand

    /** Wait for a short time before the next step. */
    public data object Pause : AttemptCommand

    /** Send the action to its target, once; [promised] if the peers' promises replace the claim at the platform. */
    public data class Dispatch(public val hold: Hold, public val promised: Boolean) : AttemptCommand

    /** End the attempt and return [verdict] to the caller. */
    public data class Finish(public val verdict: AttemptVerdict) : AttemptCommand
}

/** The result of an attempt for its caller. */
public sealed interface AttemptVerdict {
    /** The action's first and only [result]; [repeated] if this attempt did not run it itself. */
    public data class Result(public val result: ActionResult, public val repeated: Boolean) : AttemptVerdict

    /** The key was used with another body. */
    public data object Conflict : AttemptVerdict

    /** The action was not run and will not be. */
    public data class NotRun(public val detail: String) : AttemptVerdict

    /** It is not known whether the action has taken or will take effect. */
    public data class Unknown(public val detail: String) : AttemptVerdict
}

/** The result of an [AttemptCommand]. */
public sealed interface AttemptEvent {
    /** The platform's service has stored the claim. */
    public data object ClaimWritten : AttemptEvent

    /** The platform's service already has the claim [present] for the key. */
    public data class ClaimPresent(public val present: ActionClaim) : AttemptEvent

    /** The platform's service did not answer; it may have stored the claim nevertheless. */
    public data object ClaimUnanswered : AttemptEvent

    /** The answer of each peer that was asked. */
    public data class PromisesAnswered(public val answers: ImmutableMap<RegisteredHost, PromiseAnswer>) : AttemptEvent

    /** The holder's [answer]; null if it did not answer or is another incarnation by now. */
    public data class HolderAnswered(public val answer: HolderAnswer?) : AttemptEvent

    /** The pause is over, or all reachable peers were notified of the release. */
    public data object Done : AttemptEvent

    /** The run has ended with [result]. */
    public data class RunEnded(public val result: ActionResult) : AttemptEvent
}
