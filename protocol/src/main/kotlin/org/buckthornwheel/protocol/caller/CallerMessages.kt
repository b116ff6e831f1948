/*
 * The JSON bodies that the gateway itself reads from or sends to callers. Other bodies are relayed without parsing.
 */

package org.buckthornwheel.protocol.caller

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One entry host that currently accepts requests from callers; [address] is `host:port`. */
@Serializable
public data class EntryHost(
    public val name: String,
    public val region: String,
    public val zone: String,
    public val address: String,
)

/** Response to `GET /v1/entry-hosts`: hosts in order of preference, valid for [timeToLiveSeconds]. */
@Serializable
public data class EntryHosts(public val hosts: List<EntryHost>, public val timeToLiveSeconds: Int)

/** The fields of a completion request that the gateway reads; all others are relayed unchanged. */
@Serializable
public data class CompletionRequestFields(
    public val model: String,
    public val stream: Boolean = false,
    @SerialName("max_tokens") public val maximumTokens: Int? = null,
)

/** Error response of type `application/problem+json` (RFC 9457), with the step and the peer at which it arose. */
@Serializable
public data class Problem(
    public val type: String,
    public val title: String,
    public val status: Int,
    public val detail: String,
    public val step: String,
    public val peer: String? = null,
    public val outcome: String,
    public val requestId: String? = null,
)
