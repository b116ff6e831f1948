/*
 * The fields that the gateway reads from the events of a streamed completion; all others are relayed unchanged.
 */

package org.buckthornwheel.protocol.caller

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** One event of a streamed completion; an engine that fails after the first event reports it in [error]. */
@Serializable
public data class CompletionChunk(
    public val choices: List<ChunkChoice> = emptyList(),
    public val error: JsonElement? = null,
)

/** The increment of one choice in an event: [delta] for chat completions, [text] for plain completions. */
@Serializable
public data class ChunkChoice(
    public val index: Int = 0,
    public val delta: ChunkDelta? = null,
    public val text: String? = null,
    @SerialName("finish_reason") public val finishReason: String? = null,
)

/** The increment of a chat message in an event. */
@Serializable
public data class ChunkDelta(
    public val content: String? = null,
    @SerialName("tool_calls") public val toolCalls: JsonElement? = null,
)
