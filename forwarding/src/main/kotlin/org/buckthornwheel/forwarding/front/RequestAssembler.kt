package org.buckthornwheel.forwarding.front

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import org.buckthornwheel.decision.memory.Reservation

/**
 * Collects the body of a request.
 *
 * The bytes are copied, since a piece of a read keeps the whole buffer of the read, which may be far longer.
 * [reservation] is given back when the body is released for the last time.
 */
internal class RequestAssembler(
    val head: HttpRequest,
    private val maximumBodyBytes: Int,
    private val reservation: Reservation? = null,
) {
    private val body = Body(reservation)
    private var segment: ByteBuf? = null
    private var collected = 0L

    /** Number of bytes that have arrived. */
    val size: Long get() = collected + (segment?.readableBytes() ?: 0)

    /** Adds the bytes of [content]; false if the body would be too long. */
    fun add(content: HttpContent): Boolean {
        val bytes = content.content()
        val length = bytes.readableBytes()
        if (size + length > maximumBodyBytes) return false
        var index = bytes.readerIndex()
        val end = index + length
        while (index < end) {
            val target = segment ?: newSegment().also { segment = it }
            val part = minOf(end - index, target.maxWritableBytes())
            target.writeBytes(bytes, index, part)
            index += part
            if (target.maxWritableBytes() == 0) flushSegment()
        }
        return true
    }

    /** The complete body; the caller of this function has to release it. */
    fun takeBody(): ByteBuf {
        flushSegment()
        return body
    }

    fun discard() {
        segment?.release()
        segment = null
        body.release()
    }

    /** Not longer than what is reserved. */
    private fun newSegment(): ByteBuf {
        val room = reservation?.let { it.bytes - collected }?.takeIf { it > 0 } ?: SEGMENT_BYTES
        val length = minOf(room, SEGMENT_BYTES).toInt()
        return Unpooled.directBuffer(length, length)
    }

    private fun flushSegment() {
        val full = segment ?: return
        collected += full.readableBytes()
        body.addComponent(true, full)
        segment = null
    }

    private class Body(private val reservation: Reservation?) :
        CompositeByteBuf(UnpooledByteBufAllocator.DEFAULT, true, MAXIMUM_COMPONENTS) {
        override fun deallocate() {
            super.deallocate()
            reservation?.close()
        }
    }

    private companion object {
        const val SEGMENT_BYTES = 65_536L

        /** More than the segments of any body; a composite buffer with too many components copies all of them. */
        const val MAXIMUM_COMPONENTS = 1_024
    }
}
