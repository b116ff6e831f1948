package org.buckthornwheel.forwarding.front

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest

/**
 * Collects the body of a request.
 *
 * A composite buffer copies its whole content whenever it has too many components, so small pieces are collected
 * before they become a component.
 */
internal class RequestAssembler(val head: HttpRequest, private val maximumBodyBytes: Int) {
    private val body: CompositeByteBuf = Unpooled.compositeBuffer(MAXIMUM_COMPONENTS)
    private var smallPieces: ByteBuf? = null

    /** Adds the bytes of [content]; false if the body would be too long. */
    fun add(content: HttpContent): Boolean {
        val bytes = content.content()
        if (size() + bytes.readableBytes() > maximumBodyBytes) return false
        if (isSmall(bytes)) addSmall(bytes) else addComponent(bytes)
        return true
    }

    /** The complete body; the caller of this function has to release it. */
    fun takeBody(): ByteBuf {
        flushSmallPieces()
        return body
    }

    fun discard() {
        smallPieces?.release()
        smallPieces = null
        body.release()
    }

    private fun size(): Int = body.readableBytes() + (smallPieces?.readableBytes() ?: 0)

    /** Most bodies arrive in one piece, which need not be copied. */
    private fun isSmall(bytes: ByteBuf): Boolean = bytes.readableBytes() < SMALL_PIECE_BYTES && body.isReadable

    private fun addSmall(bytes: ByteBuf) {
        if (!bytes.isReadable) return
        val collected =
            smallPieces ?: Unpooled.directBuffer(SMALL_PIECE_BYTES, COLLECTED_BYTES).also { smallPieces = it }
        collected.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes())
        if (collected.maxWritableBytes() < SMALL_PIECE_BYTES) flushSmallPieces()
    }

    private fun addComponent(bytes: ByteBuf) {
        flushSmallPieces()
        if (bytes.isReadable) body.addComponent(true, bytes.retain())
    }

    private fun flushSmallPieces() {
        smallPieces?.let { body.addComponent(true, it) }
        smallPieces = null
    }

    private companion object {
        const val MAXIMUM_COMPONENTS = 256

        /** Pieces below this size are copied; a component costs more memory than such a copy. */
        const val SMALL_PIECE_BYTES = 1_024

        /** Maximum size of a component of small pieces. */
        const val COLLECTED_BYTES = 16_384
    }
}
