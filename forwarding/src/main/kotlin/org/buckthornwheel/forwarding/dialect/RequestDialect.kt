/*
 * Maps the metadata of requests and responses to the HTTP headers of a deployment.
 *
 * The forwarding module uses the metadata only; a dialect defines the header names and their encoding. Each deployment
 * provides one.
 */

package org.buckthornwheel.forwarding.dialect

import io.netty.handler.codec.http.HttpHeaders
import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RequestId
import org.buckthornwheel.decision.account.AccountKey
import org.buckthornwheel.decision.replica.PromptPart
import org.buckthornwheel.decision.replica.ReplicaId
import kotlin.time.Duration

/**
 * Metadata of a request, from the caller's headers.
 *
 * @property id identifier of this attempt of the caller.
 * @property remaining time that the caller waits for a response; null if it is not given.
 * @property promptTokens number of prompt tokens; 0 if there is no prompt.
 * @property outputTokens maximum number of tokens to generate.
 * @property expectedOutputTokens the caller's estimate of the number of generated tokens; null if it is not given.
 * @property parts parts of the prompt, in order.
 * @property hasTokenCounts whether the caller gave the numbers of prompt and output tokens.
 * @property resumedRequest the request that brought the first event of the stream which this one takes up; null if the
 *   caller names none.
 */
public data class RequestMetadata(
    public val id: RequestId,
    public val remaining: Duration?,
    public val promptTokens: Int,
    public val outputTokens: Int,
    public val expectedOutputTokens: Int?,
    public val parts: List<PromptPart>,
    public val hasTokenCounts: Boolean = false,
    public val resumedRequest: RequestId? = null,
) {
    /** Tokens that the request may use altogether; null if the caller did not say. */
    public val usedTokens: Long? get() = if (hasTokenCounts) promptTokens.toLong() + outputTokens else null
}

/**
 * Metadata that the gateway sends to a replica with a request.
 *
 * @property replica the only replica that may run the request.
 * @property remaining time after which the replica stops working on the request.
 * @property priority priority of the request; 0 is the most urgent.
 * @property lastEventId identifier of the event after which a stream is continued; null to start the stream.
 * @property fetchFrom replica from which the cached prefix parts of the prompt are fetched; null for none.
 */
public data class ReplicaRequestMetadata(
    public val replica: ReplicaId,
    public val remaining: Duration,
    public val priority: Int,
    public val lastEventId: String?,
    public val fetchFrom: NetworkAddress? = null,
)

/**
 * Metadata from the head of a response, besides its status.
 *
 * @property retryAfter time for which a replica that rejects the request wants no other one; null if it is not given.
 * @property requestsAtReplica requests of all hosts that the replica runs or queues; null if it is not reported.
 * @property sharesMachine whether the replica reports how much other work on its machine slows it down.
 * @property isLeaving whether the replica announces that it is shutting down.
 * @property requestLimit requests a second that the replica takes from all hosts together; null if it names no limit.
 */
public data class ResponseMetadata(
    public val requestId: RequestId?,
    public val isSigned: Boolean,
    public val isCertainlyNotRun: Boolean,
    public val isWrongReplica: Boolean,
    public val retryAfter: Duration?,
    public val requestsAtReplica: Int? = null,
    public val sharesMachine: Boolean = false,
    public val isLeaving: Boolean = false,
    public val requestLimit: Double? = null,
)

/** Reads and writes the headers of a deployment. */
public interface RequestDialect {
    /** The metadata in a caller's [headers]; null if they have no request identifier. */
    public fun readRequest(headers: HttpHeaders): RequestMetadata?

    /** Removes the headers that only the gateway may set from [headers], and sets them from [metadata]. */
    public fun writeRequest(headers: HttpHeaders, metadata: ReplicaRequestMetadata)

    /** The account key in a caller's [headers]; null unless there is exactly one. */
    public fun readAccountKey(headers: HttpHeaders): AccountKey?

    /** Removes account keys and account names from [headers], and sets the name of [account] unless it is null. */
    public fun writeAccount(headers: HttpHeaders, account: AccountName?)

    /** The metadata in the [headers] of a replica's response with [status]. */
    public fun readResponse(status: Int, headers: HttpHeaders): ResponseMetadata

    /** Path at which a replica says which run it is, without occupying a slot; null if replicas do not say so. */
    public val runPath: String? get() = null

    /** The start of a replica's run, in Unix milliseconds, in the [body] of a response at [runPath]; null if none. */
    public fun readRunStart(body: String): Long? = null

    /** Marks a response as the gateway's own, for the request [id]. */
    public fun writeGatewayResponse(headers: HttpHeaders, id: RequestId)
}
