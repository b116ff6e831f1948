package org.buckthornwheel.forwarding.listener

import io.netty.channel.socket.nio.NioServerSocketChannel
import java.io.IOException

/** A listening socket that can be closed as soon as its last connection is accepted. */
internal class ListeningChannel : NioServerSocketChannel() {
    /** Whether a selector holds the socket, so that it would stay open until the next selection if it were closed. */
    val isSelected: Boolean get() = javaChannel().isRegistered

    /** Accepts the established connections, at most [maximum], even if the channel has stopped reading. */
    fun acceptEstablished(maximum: Int) {
        val accepted = ArrayList<Any>(1)
        repeat(maximum) {
            if (!accept(accepted)) return
            accepted.forEach(pipeline()::fireChannelRead)
            accepted.clear()
        }
    }

    /** The system may have no descriptor left for a connection. */
    private fun accept(accepted: MutableList<Any>): Boolean = try {
        doReadMessages(accepted) > 0
    } catch (_: IOException) {
        false
    }
}
