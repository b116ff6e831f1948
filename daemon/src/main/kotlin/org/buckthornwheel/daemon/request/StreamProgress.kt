package org.buckthornwheel.daemon.request

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.put
import org.buckthornwheel.protocol.caller.ChunkChoice
import org.buckthornwheel.protocol.caller.CompletionChunk

/**
 * Records the part of a streamed completion that the caller has received, so that another target can continue a broken
 * stream.
 *
 * The next engine receives the same request with the text so far as the beginning of the assistant's message, which
 * OpenAI-compatible engines continue. Only a stream with a single choice of plain text can be continued.
 */
internal class StreamProgress(private val body: ByteArray) {
    private val text = StringBuilder()
    private var deliveredTokens = 0
    private var finished = false
    private var isPlainText = true

    /** Whether anything was sent to the caller. */
    var hasBegun: Boolean = false
        private set

    /** Records [data], the next event of an attempt, and returns whether the caller needs it. */
    fun accept(data: String): EventVerdict {
        val chunk = parse(data)
        if (chunk?.error != null) return EventVerdict.FAILED
        val choice = chunk?.choices?.singleOrNull()
        if (hasBegun && choice != null && choice.addsNothing()) return EventVerdict.REPEATED
        hasBegun = true
        if (choice == null && chunk?.choices?.isEmpty() != true) isPlainText = false
        choice?.let(::record)
        return EventVerdict.NEW
    }

    private fun record(choice: ChunkChoice) {
        if (choice.delta?.toolCalls != null || choice.index != 0) isPlainText = false
        if (choice.finishReason != null) finished = true
        val added = choice.addedText().ifEmpty { return }
        text.append(added)
        deliveredTokens += 1
    }

    private fun ChunkChoice.addedText(): String = delta?.content ?: text.orEmpty()

    private fun ChunkChoice.addsNothing(): Boolean =
        addedText().isEmpty() && finishReason == null && delta?.toolCalls == null

    /** How another target can continue the stream. */
    fun continuation(): Continuation {
        if (!hasBegun) return Continuation.Send(body)
        if (finished) return Continuation.Complete
        if (!isPlainText) return Continuation.Impossible
        val request = Json.parseToJsonElement(body.decodeToString()) as? JsonObject ?: return Continuation.Impossible
        val limit = (request[MAXIMUM_TOKENS] as? JsonPrimitive)?.intOrNull
        if (limit != null && limit <= deliveredTokens) return Continuation.Complete
        return continuedRequest(request, limit?.minus(deliveredTokens))
    }

    private fun continuedRequest(request: JsonObject, remainingTokens: Int?): Continuation {
        if (text.isEmpty()) return Continuation.Send(body)
        val messages = request[MESSAGES] as? JsonArray
        val prompt = (request[PROMPT] as? JsonPrimitive)?.contentOrNull
        val added: Map<String, JsonElement> = when {
            messages != null -> mapOf(
                MESSAGES to withPartialResponse(messages, continuesFinalMessage(request)),
                CONTINUE to JsonPrimitive(true),
                ADD_GENERATION_PROMPT to JsonPrimitive(false),
            )

            prompt != null -> mapOf(PROMPT to JsonPrimitive(prompt + text))

            else -> return Continuation.Impossible
        }
        val limited = if (remainingTokens == null) added else added + (MAXIMUM_TOKENS to JsonPrimitive(remainingTokens))
        return Continuation.Send(JsonObject(request + limited).toString().encodeToByteArray())
    }

    /**
     * The messages with the text so far as the last one.
     *
     * If the caller's request itself continues its final message, that message is extended.
     */
    private fun withPartialResponse(messages: JsonArray, extendsLast: Boolean): JsonArray {
        val last = messages.lastOrNull() as? JsonObject
        val before = (last?.get(CONTENT) as? JsonPrimitive)?.contentOrNull
        if (!extendsLast || last == null || before == null) return JsonArray(messages + partialMessage(text.toString()))
        return JsonArray(messages.dropLast(1) + JsonObject(last + (CONTENT to JsonPrimitive(before + text))))
    }

    private fun continuesFinalMessage(request: JsonObject): Boolean =
        (request[CONTINUE] as? JsonPrimitive)?.booleanOrNull == true

    private fun partialMessage(content: String): JsonObject = buildJsonObject {
        put("role", "assistant")
        put(CONTENT, content)
    }

    private fun parse(data: String): CompletionChunk? = try {
        format.decodeFromString<CompletionChunk>(data)
    } catch (_: SerializationException) {
        null
    }

    private companion object {
        const val MESSAGES = "messages"
        const val PROMPT = "prompt"
        const val CONTENT = "content"
        const val MAXIMUM_TOKENS = "max_tokens"
        const val CONTINUE = "continue_final_message"
        const val ADD_GENERATION_PROMPT = "add_generation_prompt"
        val format = Json { ignoreUnknownKeys = true }
    }
}

/** Whether an event of an attempt is relayed to the caller. */
internal enum class EventVerdict {
    /** The caller has not received it yet. */
    NEW,

    /** It adds nothing, such as the opening of a response that the caller already received from an earlier attempt. */
    REPEATED,

    /** The engine reports that it has failed. */
    FAILED,
}

/** How a broken stream can be continued. */
internal sealed interface Continuation {
    /** Another engine receives a request with [body]. */
    class Send(val body: ByteArray) : Continuation

    /** The caller has received everything except the end of the stream. */
    data object Complete : Continuation

    /** The part that the caller has received cannot be continued. */
    data object Impossible : Continuation
}
