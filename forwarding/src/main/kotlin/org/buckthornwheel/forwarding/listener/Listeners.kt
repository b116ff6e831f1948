package org.buckthornwheel.forwarding.listener

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.ServerChannelRecvByteBufAllocator
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpServerCodec
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.forwarding.front.InboundConnection
import org.buckthornwheel.forwarding.front.StrictRequestDecoder
import java.net.InetSocketAddress

/** Opens the listeners of a host on one event loop group. */
internal class Listeners(private val group: EventLoopGroup) {
    /** Listens for requests to be proxied; [connect] creates the handler of each connection. */
    fun openProxy(
        address: NetworkAddress,
        headerBytes: () -> Int,
        connect: (SocketChannel) -> InboundConnection,
    ): OpenListener = listen(address) { channel ->
        val connection = connect(channel)
        channel.pipeline()
            .addLast(BytesReceivedNotifier(connection))
            .addLast(StrictRequestDecoder(headerBytes()))
            .addLast(HttpResponseEncoder())
            .addLast(connection)
    }

    /** Listens for requests that [endpoint] serves. */
    fun openEndpoint(address: NetworkAddress, endpoint: HttpEndpoint): OpenListener = listen(address) { channel ->
        channel.pipeline()
            .addLast(HttpServerCodec())
            .addLast(HttpObjectAggregator(MAXIMUM_ENDPOINT_BODY_BYTES))
            .addLast(EndpointHandler(endpoint))
    }

    private fun listen(address: NetworkAddress, initialize: (SocketChannel) -> Unit): OpenListener {
        val bootstrap = ServerBootstrap().group(group).channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, ServerChannelRecvByteBufAllocator().maxMessagesPerRead(BACKLOG))
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel): Unit = initialize(channel)
            })
        KeepAliveOptions.set { option, value -> bootstrap.childOption(option, value) }
        val channel = bootstrap.bind(InetSocketAddress(address.host, address.port)).sync().channel()
        return OpenListener(channel as NioServerSocketChannel)
    }

    private class BytesReceivedNotifier(private val connection: InboundConnection) : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            connection.onBytes()
            context.fireChannelRead(message)
        }
    }

    private companion object {
        const val BACKLOG = 1_024
        const val MAXIMUM_ENDPOINT_BODY_BYTES = 65_536
    }
}
