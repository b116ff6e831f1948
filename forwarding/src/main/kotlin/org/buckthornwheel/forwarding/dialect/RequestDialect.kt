/*
 * The border between the forwarder and the headers of a deployment.
 *
 * The forwarder knows what a request needs and what an answer says; a dialect knows under which header names that is
 * written. Each deployment brings one.
 */

package org.buckthornwheel.forwarding.dialect

import io.netty.handler.codec.http.HttpHeaders
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RequestId
import org.buckthornwheel.decision.replica.PromptPart
import org.buckthornwheel.decision.replica.ReplicaId
import kotlin.time.Duration

/**
 * What a caller's headers say of a request.
 *
 * @property id identifier of this attempt of the caller.
 * @property remaining time for which the caller waits; null if it does not say.
 * @property promptTokens tokens of the prompt; 0 if there is none.
 * @property outputTokens most tokens to be generated.
 * @property expectedOutputTokens the caller's estimate of the tokens to be generated; null if it gives none.
 * @property parts the prompt's parts in order.
 */
public data class RequestMetadata(
    public val id: RequestId,
    public val remaining: Duration?,
    public val promptTokens: Int,
    public val outputTokens: Int,
    public val expectedOutputTokens: Int?,
    public val parts: List<PromptPart>,
)

/**
 * What the gateway tells a replica about a request that it sends.
 *
 * @property replica the only replica that may run it.
 * @property remaining time after which the replica stops working on it.
 * @property priority rank of the request; 0 is the most urgent.
 * @property lastEventId the event after which a stream is to be continued; null to start it.
 * @property fetchFrom a replica from whose memory it takes what that keeps of the prompt; null for none.
 */
public data class ReplicaRequestMetadata(
    public val replica: ReplicaId,
    public val remaining: Duration,
    public val priority: Int,
    public val lastEventId: String?,
    public val fetchFrom: NetworkAddress? = null,
)

/**
 * What an answer's head says, beside its status.
 *
 * @property requestsAtReplica requests that the replica runs or keeps waiting, from all hosts; null if not told.
 */
public data class ResponseMetadata(
    public val requestId: RequestId?,
    public val isSigned: Boolean,
    public val isCertainlyNotRun: Boolean,
    public val isWrongReplica: Boolean,
    public val retryAfter: Duration?,
    public val requestsAtReplica: Int? = null,
)

/** Reads and writes the headers of a deployment. */
public interface RequestDialect {
    /** The facts in a caller's [headers]; null if they name no request. */
    public fun readRequest(headers: HttpHeaders): RequestMetadata?

    /** Removes from [headers] what only the gateway may set, and sets it from [terms]. */
    public fun writeRequest(headers: HttpHeaders, metadata: ReplicaRequestMetadata)

    /** The facts in the [headers] of a replica's answer with [status]. */
    public fun readResponse(status: Int, headers: HttpHeaders): ResponseMetadata

    /** Marks an answer of the gateway itself, about the request [id]. */
    public fun writeGatewayResponse(headers: HttpHeaders, id: RequestId)
}
