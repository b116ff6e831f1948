package org.buckthornwheel.forwarding.front

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * A request decoder that rejects messages whose length is ambiguous (RFC 9112, section 6.3).
 *
 * It decodes only while [mayDecode], so that requests that are sent ahead stay bytes, and it knows what the objects
 * cost that it has made of a head or trailer.
 */
internal class StrictRequestDecoder(maximumHeaderBytes: Int, private val mayDecode: () -> Boolean) :
    HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(maximumHeaderBytes)
            .setMaxHeaderSize(maximumHeaderBytes)
            .setMaxChunkSize(MAXIMUM_CHUNK_BYTES),
    ) {
    private var context: ChannelHandlerContext? = null

    /** Cost of the incomplete head or trailer, in bytes. */
    var partialCost: Long = 0
        private set

    /** Cost of the last complete head, in bytes. */
    var headCost: Long = 0
        private set

    /** Whether bytes have arrived that are not decoded yet. */
    val hasUndecodedBytes: Boolean get() = actualReadableBytes() > 0

    /** Size of the buffer that keeps bytes that are not decoded yet; 0 if there are none. */
    val undecodedCapacity: Int get() = if (hasUndecodedBytes) internalBuffer().capacity() else 0

    override fun handlerAdded(added: ChannelHandlerContext) {
        context = added
        super.handlerAdded(added)
    }

    /** Decodes bytes that have arrived before. */
    fun resume() {
        if (hasUndecodedBytes) context?.let { channelRead(it, Unpooled.EMPTY_BUFFER) }
    }

    override fun decode(decoding: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (!mayDecode()) return
        val begin = buffer.readerIndex()
        val decoded = out.size
        super.decode(decoding, buffer, out)
        val first = out.getOrNull(decoded)
        if (first != null && first !is HttpMessage) {
            partialCost = 0
            return
        }
        partialCost += cost(buffer, begin)
        if (first == null) return
        headCost = partialCost
        partialCost = 0
    }

    /** What the lines between [begin] and the reader index of [buffer] cost as objects. */
    private fun cost(buffer: ByteBuf, begin: Int): Long {
        val end = minOf(buffer.readerIndex(), buffer.writerIndex())
        var lines = 0L
        for (index in begin until end) if (buffer.getByte(index) == LINE_FEED) lines += 1
        return end - begin + lines * LINE_COST
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and chunked Transfer-Encoding")

    private companion object {
        const val MAXIMUM_CHUNK_BYTES = 65_536
        const val LINE_FEED = '\n'.code.toByte()

        /** Memory of the objects of a header field, with its copy in the request to the target. */
        const val LINE_COST = 192
    }
}
