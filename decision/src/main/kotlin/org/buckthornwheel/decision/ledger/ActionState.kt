package org.buckthornwheel.decision.ledger

/** State of one key on one host. A key that is not in the ledger is [Unseen]. */
public sealed interface ActionState {
    /** Hash of the body of the first request with the key; null for [Unseen]. */
    public val bodySha256: String?

    /** This host has no record of the key. */
    public data object Unseen : ActionState {
        override val bodySha256: String? = null
    }

    /** This host has promised the key to [hold]: it neither runs the action nor promises the key to another host. */
    public data class Promised(override val bodySha256: String, public val hold: Hold) : ActionState

    /** An attempt on this host is claiming the key or collecting promises; nothing has been sent to a target. */
    public data class Claimed(override val bodySha256: String, public val number: HoldNumber) : ActionState

    /** The action may have been sent to a target. */
    public data class Running(override val bodySha256: String, public val number: HoldNumber) : ActionState

    /** The run ended with [result], which answers every later attempt. */
    public data class Completed(override val bodySha256: String, public val result: ActionResult) : ActionState

    /** The result is lost: this host cannot find out whether the action took effect. */
    public data class Unknown(override val bodySha256: String, public val detail: String) : ActionState
}

/** An event that may change the state of a key on one host. */
public sealed interface ActionEvent {
    /** A caller requests the action; if the key is free, the attempt gets the hold [number]. */
    public data class Requested(public val bodySha256: String, public val number: HoldNumber) : ActionEvent

    /** The attempt with hold [number] has its claim or all promises and is about to send the action. */
    public data class Started(public val number: HoldNumber) : ActionEvent

    /** The run of hold [number] has ended. */
    public data class Ended(public val number: HoldNumber, public val result: ActionResult) : ActionEvent

    /** The attempt with hold [number] ends before anything was sent. */
    public data class Abandoned(public val number: HoldNumber) : ActionEvent

    /** Another host requests the promise; it is [preferred] if rendezvous hashing ranks it before this host. */
    public data class PromiseAsked(
        public val bodySha256: String,
        public val hold: Hold,
        public val preferred: Boolean,
    ) : ActionEvent

    /** Another host reports that its [hold] has ended without a run. */
    public data class Released(public val hold: Hold) : ActionEvent

    /** Another host queries the result of the action. */
    public data class ResultAsked(public val bodySha256: String) : ActionEvent

    /** Another host or the platform reports the state that it has recorded for the key. */
    public data class Learned(public val bodySha256: String, public val state: KnownState) : ActionEvent
}

/** The ledger's answer to an [ActionEvent]. */
public sealed interface LedgerDecision {
    /** The attempt has the key under hold [number] and may continue. */
    public data class Proceed(public val number: HoldNumber) : LedgerDecision

    /** An attempt on this host is in progress; its result has to be awaited. */
    public data object Busy : LedgerDecision

    /** The action has already ended with [result]. */
    public data class FirstAnswer(public val result: ActionResult) : LedgerDecision

    /** The key belongs to [hold] of another host. */
    public data class HeldBy(public val hold: Hold) : LedgerDecision

    /** The key was used with another body. */
    public data object Conflict : LedgerDecision

    /** The result is lost: whether the action took effect cannot be found out. */
    public data class OutcomeLost(public val detail: String) : LedgerDecision

    /** The promise is given: from now on this host refuses the key to every other host, and runs no attempt itself. */
    public data object Granted : LedgerDecision

    /** The promise is refused because the key is already in use; [hold] is set if another host holds it. */
    public data class Seen(public val hold: Hold?) : LedgerDecision

    /** This host does not hold the key. */
    public data object NotHeld : LedgerDecision

    /** The event was applied. */
    public data object Accepted : LedgerDecision

    /** The event is outdated or has no effect in this state. */
    public data object Ignored : LedgerDecision

    /** The ledger accepts no new keys: it is full, or the host is leaving or not yet registered. */
    public data class Closed(public val detail: String) : LedgerDecision
}
