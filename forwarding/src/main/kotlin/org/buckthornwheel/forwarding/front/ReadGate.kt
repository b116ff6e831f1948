package org.buckthornwheel.forwarding.front

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.util.ReferenceCountUtil

/**
 * Pauses and resumes reading from a connection, and drops what arrives while [isDropping].
 *
 * A decoder asks for more bytes after a read from which it could decode nothing, also while automatic reading is off;
 * the gate ignores that. [afterBytes] is called with the number of bytes when they have been decoded.
 */
internal class ReadGate(
    private val channel: Channel,
    private val isDropping: () -> Boolean,
    private val afterBytes: (Int) -> Unit,
) : ChannelDuplexHandler() {
    /** Whether reading is paused. */
    var isPaused: Boolean = false
        set(paused) {
            if (field == paused) return
            field = paused
            channel.config().isAutoRead = !paused
        }

    override fun read(context: ChannelHandlerContext) {
        if (!isPaused) context.read()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (isDropping()) {
            ReferenceCountUtil.release(message)
            return
        }
        val length = (message as? ByteBuf)?.readableBytes() ?: 0
        context.fireChannelRead(message)
        afterBytes(length)
    }
}
