package org.buckthornwheel.forwarding.listener

import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioChannelOption
import jdk.net.ExtendedSocketOptions

/** Short TCP keep-alive probes, which show within seconds that a silent connection's other end is gone. */
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
