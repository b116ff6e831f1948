package org.buckthornwheel.daemon.request

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.apache.commons.codec.digest.MurmurHash3

/** The beginning of a prompt; its hash routes requests with a common prefix to the engine that has it cached. */
internal object PromptPrefix {
    private const val PREFIX_CHARACTERS = 512
    private const val MINIMUM_CHARACTERS = 256
    private const val SEED = 0
    private val format = Json { ignoreUnknownKeys = true }

    /** The hash of the beginning of the prompt in [body]; 0 if the prompt is too short to benefit from a cache. */
    fun hash(body: ByteArray): Long {
        if (body.size < MINIMUM_CHARACTERS) return 0
        val text = textOf(body) ?: return 0
        if (text.length < MINIMUM_CHARACTERS) return 0
        val bytes = text.take(PREFIX_CHARACTERS).encodeToByteArray()
        return MurmurHash3.hash128x64(bytes, 0, bytes.size, SEED)[0]
    }

    private fun textOf(body: ByteArray): String? = try {
        val fields = format.decodeFromString<PromptFields>(body.decodeToString())
        fields.prompt?.toString() ?: fields.messages.joinToString("")
    } catch (_: SerializationException) {
        null
    }

    @Serializable
    private data class PromptFields(val messages: List<JsonElement> = emptyList(), val prompt: JsonElement? = null)
}
