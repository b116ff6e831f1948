package org.buckthornwheel.decision.ledger

import kotlinx.serialization.Serializable

/** Answer of a host to a query for the result of an action. */
@Serializable
public sealed interface HolderAnswer {
    /** The action has ended with [result]. */
    @Serializable
    public data class Ended(public val result: ActionResult) : HolderAnswer

    /** An attempt is in progress on the queried host. */
    @Serializable
    public data object Busy : HolderAnswer

    /** The queried host does not hold the key, and has not run the action under an earlier hold. */
    @Serializable
    public data object NotHeld : HolderAnswer

    /** Another host, [holder], holds the key. */
    @Serializable
    public data class Elsewhere(public val holder: RegisteredHost) : HolderAnswer

    /** The key was used with another body. */
    @Serializable
    public data object Conflict : HolderAnswer

    /** Factory. */
    public companion object {
        /** Converts the ledger's [decision] to an answer for another host. */
        public fun of(decision: LedgerDecision): HolderAnswer = when (decision) {
            is LedgerDecision.FirstAnswer -> Ended(decision.result)
            is LedgerDecision.OutcomeLost -> Ended(ActionResult.Lost(decision.detail))
            is LedgerDecision.HeldBy -> Elsewhere(decision.hold.holder)
            LedgerDecision.Conflict -> Conflict
            LedgerDecision.NotHeld -> NotHeld
            else -> Busy
        }
    }
}
