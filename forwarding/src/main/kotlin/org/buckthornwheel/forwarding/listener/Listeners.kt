package org.buckthornwheel.forwarding.listener

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.RecvByteBufAllocator
import io.netty.channel.ServerChannelRecvByteBufAllocator
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.SocketChannel
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.forwarding.front.InboundConnection
import org.buckthornwheel.forwarding.limits.ConnectionGroup
import org.buckthornwheel.forwarding.limits.HostMemory
import java.net.InetSocketAddress

/** What the connections to [endpoint] share. */
internal class EndpointListener(
    val endpoint: HttpEndpoint,
    val connections: ConnectionGroup<EndpointConnection>,
    val memory: HostMemory,
)

/** Opens the listeners of a host on one event loop group. */
internal class Listeners(private val group: EventLoopGroup) {
    /** Listens for requests to be proxied; [connect] creates the handler of each connection. */
    fun openProxy(
        address: NetworkAddress,
        connections: ConnectionGroup<*>,
        connect: (SocketChannel) -> InboundConnection,
    ): OpenListener = listen(address, connections, REQUEST_BUFFERS) { it.pipeline().addLast(connect(it)) }

    /** Listens for requests that the endpoint of [listener] serves. */
    fun openEndpoint(address: NetworkAddress, listener: EndpointListener): OpenListener =
        listen(address, listener.connections, FixedRecvByteBufAllocator(ENDPOINT_BUFFER_BYTES)) { channel ->
            channel.pipeline().addLast(EndpointConnection(channel, listener))
        }

    private fun listen(
        address: NetworkAddress,
        connections: ConnectionGroup<*>,
        buffers: RecvByteBufAllocator,
        initialize: (SocketChannel) -> Unit,
    ): OpenListener {
        val bootstrap = ServerBootstrap().group(group).channel(ListeningChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, OpenListener.BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTED_AT_ONCE),
            )
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, buffers)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER)
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel): Unit = initialize(channel)
            })
        KeepAliveOptions.set { option, value -> bootstrap.childOption(option, value) }
        val channel = bootstrap.bind(InetSocketAddress(address.host, address.port)).sync().channel()
        connections.listener = channel
        return OpenListener(channel as ListeningChannel)
    }

    private companion object {
        /** Few, so that the limit of connections acts before many more are accepted. */
        const val ACCEPTED_AT_ONCE = 64
        const val ENDPOINT_BUFFER_BYTES = 2_048

        /** Buffers of single reads; the largest one holds the longest head. */
        val REQUEST_BUFFERS = AdaptiveRecvByteBufAllocator(64, 2_048, 16_384)

        /** Unread bytes of a response at which reading from the target pauses and resumes. */
        val WRITE_BUFFER = WriteBufferWaterMark(8_192, 32_768)
    }
}
