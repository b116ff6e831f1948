package org.buckthornwheel.forwarding.listener

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.SocketChannel
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.net.ConnectException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

internal class OpenListenerTest {
    private val loops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val accepted = AtomicInteger()
    private val channel = ServerBootstrap().group(loops).channel(ListeningChannel::class.java)
        .childHandler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                channel.pipeline().addLast(Accepted())
            }
        })
        .bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).sync().channel() as ListeningChannel
    private val listener = OpenListener(channel)
    private val address = channel.localAddress()
    private val busy = CountDownLatch(1)

    private inner class Accepted : ChannelInboundHandlerAdapter() {
        override fun channelActive(context: ChannelHandlerContext) {
            accepted.incrementAndGet()
        }
    }

    @AfterEach
    fun close() {
        busy.countDown()
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    private fun keepBusy() = loops.execute { busy.await(10, TimeUnit.SECONDS) }

    /** Guards against connections that were established after the last one was accepted, and reset. */
    @Test
    fun `a listener that was closed establishes no connection while its event loop is busy`() {
        val closed = listener.acceptAllAndClose()
        closed.addListener { keepBusy() }
        closed.await()
        assertThrows<ConnectException> { Socket(address.address, address.port).close() }
    }

    @Test
    fun `the connections that were established before are accepted`() {
        keepBusy()
        val sockets = List(CONNECTIONS) { Socket(address.address, address.port) }
        val closed = listener.acceptAllAndClose()
        busy.countDown()
        closed.await()
        loops.submit {}.await()
        expectThat(accepted.get()).isEqualTo(CONNECTIONS)
        sockets.forEach { it.close() }
    }

    /** Guards against a listener that stayed open since it had as many connections as it may have. */
    @Test
    fun `a listener that has stopped accepting is closed too`() {
        channel.config().isAutoRead = false
        val established = Socket(address.address, address.port)
        expectThat(listener.acceptAllAndClose().await(5, TimeUnit.SECONDS)).isTrue()
        loops.submit {}.await()
        expectThat(accepted.get()).isEqualTo(1)
        assertThrows<ConnectException> { Socket(address.address, address.port).close() }
        established.close()
    }

    private companion object {
        const val CONNECTIONS = 100
    }
}
