package org.buckthornwheel.forwarding.listener

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.memory.Reservation
import org.buckthornwheel.forwarding.front.ConnectionTimer
import org.buckthornwheel.forwarding.front.ReadGate
import org.buckthornwheel.forwarding.front.StrictRequestDecoder
import org.buckthornwheel.forwarding.limits.ConnectionStanding
import org.buckthornwheel.forwarding.limits.EvictableConnection
import kotlin.time.Duration.Companion.seconds

/**
 * Responds to each request of a connection with the response of an endpoint.
 *
 * The next request is decoded when the response was written. Bodies are read and ignored.
 */
internal class EndpointConnection(private val channel: SocketChannel, private val listener: EndpointListener) :
    ChannelInboundHandlerAdapter(),
    EvictableConnection {
    private val memory = Reservation(listener.memory.heads)
    private val timer = ConnectionTimer(channel.eventLoop())
    private val decoder = StrictRequestDecoder(MAXIMUM_HEADER_BYTES) { !isResponding }
    private val gate = ReadGate(channel, { isClosing }, { afterBytes() })
    private var request: HttpRequest? = null
    private var bodyBytes = 0L
    private var isResponding = false
    private var isClosing = false
    private var hasServed = false
    private var isTimed = false

    @Volatile
    override var lastProgress: MonotonicInstant = MonotonicClock.SYSTEM.now()
        private set

    override val standing: ConnectionStanding get() = when {
        isTimed -> ConnectionStanding.UNFINISHED
        hasServed -> ConnectionStanding.IDLE
        else -> ConnectionStanding.UNUSED
    }

    override fun handlerAdded(added: ChannelHandlerContext) {
        added.pipeline()
            .addBefore(added.name(), null, gate)
            .addBefore(added.name(), null, decoder)
            .addBefore(added.name(), null, HttpResponseEncoder())
    }

    override fun channelActive(context: ChannelHandlerContext): Unit = listener.connections.opened(this)

    override fun channelInactive(context: ChannelHandlerContext) {
        listener.connections.closed(this)
        timer.cancel()
        memory.close()
    }

    override fun evict() {
        channel.close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpObject && !isClosing) read(context, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun read(context: ChannelHandlerContext, message: HttpObject) {
        if (message.decoderResult().isFailure) return respond(context, BAD_REQUEST, keepsAlive = false)
        if (message is HttpRequest) begin(message)
        if (message is HttpContent) add(context, message)
    }

    private fun begin(head: HttpRequest) {
        if (!memory.tryResize(decoder.headCost)) return close()
        request = head
        bodyBytes = 0
    }

    private fun add(context: ChannelHandlerContext, content: HttpContent) {
        val head = request ?: return
        bodyBytes += content.content().readableBytes()
        if (bodyBytes > MAXIMUM_BODY_BYTES) return respond(context, TOO_LONG, keepsAlive = false)
        if (content !is LastHttpContent) return
        request = null
        respond(context, listener.endpoint.respond(head.method().name(), head.uri()), HttpUtil.isKeepAlive(head))
    }

    private fun respond(context: ChannelHandlerContext, result: EndpointResponse, keepsAlive: Boolean) {
        isResponding = true
        isClosing = !keepsAlive
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(result.status),
            Unpooled.wrappedBuffer(result.body.encodeToByteArray()),
        )
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, result.contentType)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
        if (isClosing) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        startTimer()
        val written = context.writeAndFlush(response)
        written.addListener(if (isClosing) ChannelFutureListener.CLOSE else ChannelFutureListener { onWritten() })
    }

    private fun onWritten() {
        isResponding = false
        hasServed = true
        lastProgress = MonotonicClock.SYSTEM.now()
        memory.resize(0)
        timer.cancel()
        isTimed = false
        if (decoder.hasUndecodedBytes) channel.eventLoop().execute(::resume)
    }

    private fun resume() {
        if (isClosing || isResponding) return
        decoder.resume()
        afterBytes()
    }

    private fun afterBytes() {
        if (isClosing) return
        val kept = decoder.partialCost + decoder.undecodedCapacity + if (request == null) 0 else decoder.headCost
        if (!isResponding && !memory.tryResize(kept)) return close()
        if (kept > 0 && !isTimed) startTimer()
        gate.isPaused = isResponding && decoder.hasUndecodedBytes
    }

    /** Limits the time for the whole request and for its response. */
    private fun startTimer() {
        isTimed = true
        timer.schedule(TIME_LIMIT, ::close)
    }

    private fun close() {
        isClosing = true
        channel.close()
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable): Unit = close()

    private companion object {
        val TIME_LIMIT = 5.seconds
        const val MAXIMUM_HEADER_BYTES = 16_384
        const val MAXIMUM_BODY_BYTES = 65_536
        val BAD_REQUEST = EndpointResponse(HttpResponseStatus.BAD_REQUEST.code())
        val TOO_LONG = EndpointResponse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code())
    }
}
