package org.buckthornwheel.protocol.peer

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.serializer

/** The reason why a message from another host was rejected. */
public enum class RejectedMessage {
    /** The message is not longer than a signature, or longer than the limit. */
    LENGTH,

    /** The signature is not valid under any of the shared keys. */
    SIGNATURE,

    /** The content cannot be decoded as a message of this protocol. */
    CONTENT,
}

/**
 * Encodes and decodes messages between hosts as CBOR followed by a signature.
 *
 * Unknown fields are ignored, so that hosts of two versions stay compatible during a rolling upgrade.
 */
@OptIn(ExperimentalSerializationApi::class)
public class PeerCodec(private val signer: MessageSigner, private val maximumBytes: Int) {
    private val format = Cbor {
        ignoreUnknownKeys = true
        preferCborLabelsOverNames = true
    }

    /** Encodes and signs [message]. */
    public inline fun <reified Message> encode(message: Message): ByteArray = encode(serializer<Message>(), message)

    /** Verifies and decodes the message in [bytes], or returns the reason for its rejection. */
    public inline fun <reified Message> decode(bytes: ByteArray): Either<RejectedMessage, Message> =
        decode(serializer<Message>(), bytes)

    /** Encodes [message] with [serializer] and signs it. */
    public fun <Message> encode(serializer: KSerializer<Message>, message: Message): ByteArray {
        val content = format.encodeToByteArray(serializer, message)
        return content + signer.sign(content)
    }

    /** Verifies [bytes] and decodes them with [serializer], or returns the reason for the rejection. */
    public fun <Message> decode(serializer: KSerializer<Message>, bytes: ByteArray): Either<RejectedMessage, Message> {
        val length = bytes.size - MessageSigner.SIGNATURE_BYTES
        if (length <= 0 || bytes.size > maximumBytes) return RejectedMessage.LENGTH.left()
        val content = bytes.copyOfRange(0, length)
        if (!signer.verifies(content, bytes.copyOfRange(length, bytes.size))) return RejectedMessage.SIGNATURE.left()
        return decodeContent(serializer, content)
    }

    // On malformed input, the decoder also throws exceptions other than SerializationException.
    private fun <Message> decodeContent(
        serializer: KSerializer<Message>,
        content: ByteArray,
    ): Either<RejectedMessage, Message> = try {
        format.decodeFromByteArray(serializer, content).right()
    } catch (_: SerializationException) {
        RejectedMessage.CONTENT.left()
    } catch (_: RuntimeException) {
        RejectedMessage.CONTENT.left()
    }
}
