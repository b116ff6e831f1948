/*
 * Connections to targets, kept open between requests.
 *
 * There is one pool for each event loop, so that an exchange and its connections never change threads.
 */

package org.buckthornwheel.forwarding.connection

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponseDecoder
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.forwarding.listener.KeepAliveOptions
import java.net.InetSocketAddress

/** What a kept connection is kept for: [owner] tells two targets apart that have used one address. */
internal data class TargetKey(val address: NetworkAddress, val owner: String)

/** The pool of [loop]; [onOpened] counts new connections. */
internal class TargetPool(private val loop: EventLoop, private val onOpened: () -> Unit) {
    private val idle = HashMap<TargetKey, ArrayDeque<TargetConnection>>()

    /** Calls [use] with an open connection, or [fail] with the reason why there is none. */
    fun acquire(key: TargetKey, use: (TargetConnection) -> Unit, fail: (String) -> Unit) {
        val kept = takeIdle(key)
        if (kept != null) return use(kept)
        open(key, use, fail)
    }

    fun release(connection: TargetConnection) {
        val announced = connection.announcedIdleMilliseconds ?: DEFAULT_IDLE_MILLISECONDS
        val usable = minOf(announced, DEFAULT_IDLE_MILLISECONDS) - IDLE_MARGIN_MILLISECONDS
        if (usable <= 0) {
            connection.channel.close()
            return
        }
        connection.idleUntilNanoseconds = System.nanoTime() + usable * NANOSECONDS_PER_MILLISECOND
        idle.getOrPut(connection.key) { ArrayDeque() }.addLast(connection)
    }

    fun forget(connection: TargetConnection) {
        idle[connection.key]?.remove(connection)
    }

    /** Closes connections that were idle too long. */
    fun closeIdle() {
        val now = System.nanoTime()
        idle.values.forEach { list ->
            val old = list.filter { it.idleUntilNanoseconds - now < 0 }
            list.removeAll(old)
            old.forEach { it.channel.close() }
        }
        idle.values.removeIf { it.isEmpty() }
    }

    /** The newest first: it is the least likely to have been closed by the target meanwhile. */
    private fun takeIdle(key: TargetKey): TargetConnection? {
        val list = idle[key] ?: return null
        val now = System.nanoTime()
        while (list.isNotEmpty()) {
            val newest = list.removeLast()
            if (newest.isOpen && newest.idleUntilNanoseconds - now > 0) return newest
            newest.channel.close()
        }
        return null
    }

    private fun open(key: TargetKey, use: (TargetConnection) -> Unit, fail: (String) -> Unit) {
        onOpened()
        var connection: TargetConnection? = null
        val bootstrap = Bootstrap().group(loop).channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
            .option(ChannelOption.TCP_NODELAY, true)
        KeepAliveOptions.set { option, value -> bootstrap.option(option, value) }
        bootstrap.handler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                val handler = TargetConnection(channel, this@TargetPool, key)
                connection = handler
                channel.pipeline().addLast(HttpRequestEncoder(), HttpResponseDecoder(), handler)
            }
        })
        bootstrap.connect(InetSocketAddress(key.address.host, key.address.port)).addListener(
            ChannelFutureListener { future ->
                val opened = connection
                if (future.isSuccess && opened != null) use(opened) else fail("connect failed: ${future.cause()}")
            },
        )
    }

    private companion object {
        /** Callers allow a second for a connection; a target of the own region answers in milliseconds. */
        const val CONNECT_TIMEOUT_MILLISECONDS = 600

        /** Idle time of connections whose target announces none. */
        const val DEFAULT_IDLE_MILLISECONDS = 8_000L

        /** Subtracted from the announced idle time, so that the target is not the one to close. */
        const val IDLE_MARGIN_MILLISECONDS = 500L
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
    }
}
