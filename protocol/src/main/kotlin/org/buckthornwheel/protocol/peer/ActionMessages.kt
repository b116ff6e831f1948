/*
 * Calls between the hosts of one availability zone by which they agree on who runs a non-idempotent action.
 */

package org.buckthornwheel.protocol.peer

import kotlinx.serialization.Serializable
import org.buckthornwheel.decision.ledger.ActionEntry
import org.buckthornwheel.decision.ledger.ActionKey
import org.buckthornwheel.decision.ledger.HelloAnswer
import org.buckthornwheel.decision.ledger.Hold
import org.buckthornwheel.decision.ledger.HolderAnswer
import org.buckthornwheel.decision.ledger.PromiseAnswer
import org.buckthornwheel.decision.ledger.RegisteredHost

/** A call about actions, addressed to exactly one incarnation of a host. */
@Serializable
public sealed interface ActionRequest : PeerRequest {
    /** The incarnation that the call is addressed to; any other responds with [OtherIncarnation]. */
    public val recipient: RegisteredHost
}

/** Response to an [ActionRequest]. */
@Serializable
public sealed interface ActionResponse : PeerResponse

/** Requests the promise that the recipient refuses [key] to every hold but [hold]. */
@Serializable
public data class AskPromise(
    override val recipient: RegisteredHost,
    public val key: ActionKey,
    public val bodySha256: String,
    public val hold: Hold,
) : ActionRequest

/** Response to [AskPromise]. */
@Serializable
public data class PromiseResponse(public val answer: PromiseAnswer) : ActionResponse

/** Reports that [hold] on [key] was released without running the action. */
@Serializable
public data class ReleasePromise(
    override val recipient: RegisteredHost,
    public val key: ActionKey,
    public val hold: Hold,
) : ActionRequest

/** Requests the result of the action under [key]. */
@Serializable
public data class AskResult(
    override val recipient: RegisteredHost,
    public val key: ActionKey,
    public val bodySha256: String,
) : ActionRequest

/** Response to [AskResult]. */
@Serializable
public data class ResultResponse(public val answer: HolderAnswer) : ActionResponse

/** Announces that [newcomer] has registered in the zone. */
@Serializable
public data class SayHello(override val recipient: RegisteredHost, public val newcomer: RegisteredHost) : ActionRequest

/** Response to [SayHello]. */
@Serializable
public data class HelloResponse(public val answer: HelloAnswer) : ActionResponse

/** Requests the entries of one [shard] of the recipient's action ledger. */
@Serializable
public data class TakeOverKeys(override val recipient: RegisteredHost, public val shard: Int) : ActionRequest

/** Response to [TakeOverKeys]. */
@Serializable
public data class KeysResponse(public val entries: List<ActionEntry>) : ActionResponse

/** Transfers the ledger [entries] of a host that is shutting down. */
@Serializable
public data class HandOverKeys(override val recipient: RegisteredHost, public val entries: List<ActionEntry>) :
    ActionRequest

/** Response to [HandOverKeys]: false if the recipient is shutting down itself or its action history is incomplete. */
@Serializable
public data class HandOverResponse(public val kept: Boolean) : ActionResponse

/** Announces that [leaver] has left the zone; [registered] are the other incarnations that it knew. */
@Serializable
public data class SayFarewell(
    override val recipient: RegisteredHost,
    public val leaver: RegisteredHost,
    public val registered: Set<RegisteredHost>,
) : ActionRequest

/** Acknowledges a [ReleasePromise] or a [SayFarewell]. */
@Serializable
public data object ActionAcknowledged : ActionResponse

/** The call reached an incarnation other than its recipient. */
@Serializable
public data object OtherIncarnation : ActionResponse
