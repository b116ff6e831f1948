/*
 * Data types of the at-most-once protocol: who may run an action, under which claim, and with which result.
 */

package org.buckthornwheel.decision.ledger

import kotlinx.serialization.Serializable
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation

/**
 * One incarnation of a host that has registered in its zone.
 *
 * @property address address for calls from other hosts, as `host:port`; a later incarnation at the same address proves
 * that this one has ended.
 */
@Serializable
public data class RegisteredHost(
    public val host: HostName,
    public val incarnation: Incarnation,
    public val address: String,
) {
    override fun toString(): String = "$host@$incarnation"
}

/** Number of a hold, increasing for each new hold of an incarnation, so that delayed messages are recognised. */
@JvmInline
@Serializable
public value class HoldNumber(public val value: Long) : Comparable<HoldNumber> {
    override fun compareTo(other: HoldNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** The exclusive right of [holder] to run the action of a key; [number] tells its holds apart. */
@Serializable
public data class Hold(public val holder: RegisteredHost, public val number: HoldNumber)

/** Result of an action. */
@Serializable
public sealed interface ActionResult {
    /**
     * The target answered.
     *
     * @property bodyBase64 body of the answer; null if it is too large to be stored.
     */
    @Serializable
    public data class Answered(
        public val status: Int,
        public val contentType: String?,
        public val bodyBase64: String?,
        public val target: String,
    ) : ActionResult

    /** Nothing was sent to the target, and nothing will be; every later attempt gets this result too. */
    @Serializable
    public data class NotRun(public val detail: String) : ActionResult

    /** The action may or may not have taken effect. */
    @Serializable
    public data class Lost(public val detail: String) : ActionResult
}

/** The value stored for a key in the platform's service; [result] is null until the run has ended. */
@Serializable
public data class ActionClaim(
    public val key: ActionKey,
    public val bodySha256: String,
    public val hold: Hold,
    public val result: ActionResult? = null,
)

/** State of one key, as it is copied from one host to another. */
@Serializable
public data class ActionEntry(public val key: ActionKey, public val bodySha256: String, public val state: KnownState)

/** The states of a key that can be copied from another host. */
@Serializable
public sealed interface KnownState {
    /** The holder of [hold] may run the action or has already run it; every other host refuses the key. */
    @Serializable
    public data class HeldElsewhere(public val hold: Hold) : KnownState

    /** The run has ended with [result]. */
    @Serializable
    public data class Ended(public val result: ActionResult) : KnownState
}
