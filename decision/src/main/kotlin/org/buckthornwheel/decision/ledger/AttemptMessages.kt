/*
 * What an attempt asks of the world around it, and what it is told in return.
 */

package org.buckthornwheel.decision.ledger

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet

/** The next thing to be done for an attempt. */
public sealed interface AttemptCommand {
    /** Write [claim] into the platform's service if its key is absent there. */
    public data class CreateClaim(public val claim: ActionClaim) : AttemptCommand

    /** Ask each of [peers] to promise the key to [hold]. */
    public data class AskPromises(public val hold: Hold, public val peers: ImmutableSet<RegisteredHost>) :
        AttemptCommand

    /** Tell [peers] that [hold] has ended without a run. */
    public data class Release(public val hold: Hold, public val peers: ImmutableSet<RegisteredHost>) : AttemptCommand

    /** Ask [holder] what came of the key. */
    public data class AskHolder(public val holder: RegisteredHost) : AttemptCommand

    /** Wait a moment. */
    public data object Pause : AttemptCommand

    /** Send the action to its target, once; [promised] if the platform does not know of the claim. */
    public data class Dispatch(public val hold: Hold, public val promised: Boolean) : AttemptCommand

    /** Tell the caller; nothing follows. */
    public data class Finish(public val verdict: AttemptVerdict) : AttemptCommand
}

/** What the caller of an attempt is told. */
public sealed interface AttemptVerdict {
    /** The action's first and only [result]; [repeated] if this attempt did not run it itself. */
    public data class Result(public val result: ActionResult, public val repeated: Boolean) : AttemptVerdict

    /** The key was used with another body. */
    public data object Conflict : AttemptVerdict

    /** Nothing was run for this key and nothing will be. */
    public data class NotRun(public val detail: String) : AttemptVerdict

    /** It is not known whether the action has taken or will take effect. */
    public data class Unknown(public val detail: String) : AttemptVerdict
}

/** What an attempt is told after a command. */
public sealed interface AttemptEvent {
    /** The claim stands in the platform's service. */
    public data object ClaimWritten : AttemptEvent

    /** The platform's service holds [present] under the key already. */
    public data class ClaimPresent(public val present: ActionClaim) : AttemptEvent

    /** The platform's service did not answer; the claim may stand there all the same. */
    public data object ClaimUnanswered : AttemptEvent

    /** What each of the asked peers answered. */
    public data class PromisesAnswered(public val answers: ImmutableMap<RegisteredHost, PromiseAnswer>) : AttemptEvent

    /** The holder's [answer]; null if it is silent or another incarnation. */
    public data class HolderAnswered(public val answer: HolderAnswer?) : AttemptEvent

    /** The moment has passed, or the peers were told as well as could be. */
    public data object Done : AttemptEvent

    /** The run has ended. */
    public data class RunEnded(public val result: ActionResult) : AttemptEvent
}
