package org.buckthornwheel.forwarding.listener

import io.netty.channel.ServerChannelRecvByteBufAllocator
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.util.concurrent.Future

/** A listener that accepts connections until it is closed. */
internal class OpenListener(private val channel: NioServerSocketChannel) {
    /** Accepts the established connections, which closing the listener would reset, and closes it. */
    fun acceptAllAndClose(): Future<*> = channel.eventLoop().submit {
        repeat(BACKLOG / acceptedAtOnce()) { channel.unsafe().read() }
        channel.close()
    }

    private fun acceptedAtOnce(): Int {
        val buffers = channel.config().getRecvByteBufAllocator<ServerChannelRecvByteBufAllocator>()
        return buffers.maxMessagesPerRead()
    }

    companion object {
        /** Number of established connections that may wait to be accepted. */
        const val BACKLOG: Int = 1_024
    }
}
