/*
 * HTTP client for services outside the request path, such as the store of the platform.
 */

package org.buckthornwheel.forwarding.client

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.concurrent.ScheduledFuture
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.forwarding.connection.ResponseDecoder
import org.buckthornwheel.forwarding.listener.KeepAliveOptions
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** An HTTP request to a service; [body] is JSON, or null for none. */
public data class HttpCall(
    public val method: String,
    public val uri: String,
    public val body: String? = null,
    public val timeout: Duration,
)

/** The result of a call. */
public sealed interface CallResult {
    /** The service responded with [status]; the names of [headers] are in lower case. */
    public data class Answered(
        public val status: Int,
        public val body: String,
        public val headers: Map<String, String> = emptyMap(),
    ) : CallResult

    /** No complete response arrived from [peer]; the call may have been executed unless [wasSent] is false. */
    public data class Failed(public val step: String, public val peer: String, public val wasSent: Boolean) : CallResult
}

/** Sends calls to [address] on [loop]; calls that do not overlap share one keep-alive connection. */
public class HttpServiceClient(private val loop: EventLoop, private val address: NetworkAddress) {
    private var idle: Channel? = null
    private var isClosed = false

    /** Sends [call] and passes its result to [done], on the event loop. */
    public fun call(call: HttpCall, done: (CallResult) -> Unit): Unit = loop.execute { begin(Pending(call, done)) }

    /** Closes the idle connection, and each later one after its call. */
    public fun close(): Unit = loop.execute {
        isClosed = true
        idle?.close()
        idle = null
    }

    private inner class Pending(val call: HttpCall, private val done: (CallResult) -> Unit) {
        var channel: Channel? = null
        var wasSent = false
        private var isEnded = false
        private val timer: ScheduledFuture<*> = loop.schedule(
            { fail("response timed out") },
            call.timeout.inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )

        fun fail(step: String) {
            if (isEnded) return
            isEnded = true
            timer.cancel(false)
            channel?.close()
            done(CallResult.Failed(step, address.toString(), wasSent))
        }

        fun complete(answer: CallResult.Answered) {
            if (isEnded) return
            isEnded = true
            timer.cancel(false)
            done(answer)
        }
    }

    private fun begin(pending: Pending) {
        val reused = idle
        idle = null
        if (reused != null && reused.isActive) return send(reused, pending)
        connect(pending)
    }

    private fun connect(pending: Pending) {
        val bootstrap = Bootstrap().group(loop).channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline()
                        .addLast(HttpRequestEncoder(), ResponseDecoder(), HttpObjectAggregator(MAXIMUM_RESPONSE_BYTES))
                }
            })
        KeepAliveOptions.set { option, value -> bootstrap.option(option, value) }
        bootstrap.connect(InetSocketAddress(address.host, address.port)).addListener(
            ChannelFutureListener { future ->
                when {
                    !future.isSuccess -> pending.fail("connect")
                    isClosed -> future.channel().close()
                    else -> send(future.channel(), pending)
                }
            },
        )
    }

    private fun send(channel: Channel, pending: Pending) {
        pending.channel = channel
        pending.wasSent = true
        channel.pipeline().addLast(Receiver(pending))
        channel.writeAndFlush(request(pending.call))
    }

    private fun request(call: HttpCall): DefaultFullHttpRequest {
        val body = call.body?.encodeToByteArray()
        val content = if (body == null) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(body)
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method), call.uri, content)
        request.headers().set(HttpHeaderNames.HOST, address.toString())
        if (body != null) request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        if (call.method != "GET") request.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
        return request
    }

    private inner class Receiver(private val pending: Pending) : SimpleChannelInboundHandler<FullHttpResponse>() {
        override fun channelRead0(context: ChannelHandlerContext, response: FullHttpResponse) {
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) return
            val isReadable = response.decoderResult().isSuccess
            context.pipeline().remove(this)
            if (!isReadable) return pending.fail("invalid response")
            val mayReuse = HttpUtil.isKeepAlive(response) && idle == null && !isClosed
            if (mayReuse) idle = context.channel() else context.close()
            pending.complete(answer(response))
        }

        private fun answer(response: FullHttpResponse): CallResult.Answered {
            val headers = response.headers().associate { (name, value) -> name.lowercase() to value }
            return CallResult.Answered(response.status().code(), response.content().toString(Charsets.UTF_8), headers)
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            pending.fail("connection closed")
        }

        @Deprecated("Netty's own signature")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            pending.fail(cause.toString())
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLISECONDS = 1_000

        /** The pages of the store have about one megabyte. */
        const val MAXIMUM_RESPONSE_BYTES = 8_388_608
    }
}
