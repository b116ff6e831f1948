package org.buckthornwheel.forwarding.listener

import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioChannelOption
import jdk.net.ExtendedSocketOptions

/** TCP keep-alive options with short intervals, which detect a dead peer of a silent connection within seconds. */
internal object KeepAliveOptions {
    private const val IDLE_SECONDS = 1
    private const val INTERVAL_SECONDS = 1
    private const val PROBES = 3

    /** Sets the options through [apply]. */
    fun set(apply: (ChannelOption<Any>, Any) -> Unit) {
        apply(untyped(ChannelOption.SO_KEEPALIVE), true)
        apply(untyped(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE)), IDLE_SECONDS)
        apply(untyped(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL)), INTERVAL_SECONDS)
        apply(untyped(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT)), PROBES)
    }

    @Suppress("UNCHECKED_CAST")
    private fun untyped(option: ChannelOption<*>): ChannelOption<Any> = option as ChannelOption<Any>
}
