package org.buckthornwheel.forwarding.listener

import io.netty.channel.socket.nio.NioServerSocketChannel

/** A listening socket of which it is known whether the selector of its event loop still holds it. */
internal class ListeningChannel : NioServerSocketChannel() {
    /** Whether closing the channel would leave the socket open until the next selection. */
    val isSelected: Boolean get() = javaChannel().isRegistered
}
