/*
 * One caller's connection: requests are read one after the other, and each is answered before the next is begun.
 */

package org.buckthornwheel.forwarding.front

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import org.buckthornwheel.forwarding.exchange.ProxiedRequest
import org.buckthornwheel.forwarding.exchange.ResponseSink
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Starts the exchange for a whole request; null if the request was answered at once. */
internal fun interface RequestStarter {
    fun start(head: HttpRequest, body: ByteBuf, connection: InboundConnection): ProxiedRequest?
}

/** Bounds of a connection, as the manifest in force sets them. */
internal class InboundLimits(val bodyBytes: Int, val headerTimeout: Duration, val idleTimeout: Duration)

internal class InboundConnection(
    private val starter: RequestStarter,
    private val limits: () -> InboundLimits,
    private val state: InboundConnections,
) : ChannelInboundHandlerAdapter(),
    ResponseSink {
    private lateinit var context: ChannelHandlerContext
    private val waiting = ArrayDeque<HttpObject>()
    private var assembler: RequestAssembler? = null
    private var proxiedRequest: ProxiedRequest? = null
    private var keepsAlive = true
    private var isHttp10 = false
    private var isClosing = false
    private var timer: ScheduledFuture<*>? = null
    private var isReadingHead = false

    val eventLoop get() = context.channel().eventLoop()

    private val isBusy: Boolean get() = proxiedRequest != null || assembler != null || isReadingHead

    override val isWritable: Boolean get() = context.channel().isWritable

    override fun handlerAdded(added: ChannelHandlerContext) {
        context = added
    }

    override fun channelActive(active: ChannelHandlerContext) {
        state.opened(this)
        awaitRequest()
    }

    /** Bytes of the next head have come: the rest of it has to follow in time. */
    fun onBytes() {
        if (isBusy || isClosing) return
        isReadingHead = true
        arm(limits().headerTimeout) { refuse(HttpResponseStatus.REQUEST_TIMEOUT) }
    }

    override fun channelRead(reading: ChannelHandlerContext, message: Any) {
        if (message !is HttpObject || isClosing) {
            ReferenceCountUtil.release(message)
            return
        }
        if (proxiedRequest != null) return enqueue(message)
        read(message)
    }

    override fun channelInactive(inactive: ChannelHandlerContext) {
        isClosing = true
        timer?.cancel(false)
        state.closed(this)
        assembler?.discard()
        assembler = null
        waiting.forEach(ReferenceCountUtil::release)
        waiting.clear()
        val running = proxiedRequest
        proxiedRequest = null
        running?.cancel()
    }

    override fun channelWritabilityChanged(changed: ChannelHandlerContext) {
        proxiedRequest?.setReading(isWritable)
    }

    override fun exceptionCaught(caught: ChannelHandlerContext, cause: Throwable) {
        caught.close()
    }

    /** Closes the connection if no request is on it; otherwise the answer says that it ends. */
    fun drain() {
        if (!isBusy) context.close()
    }

    override fun respond(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf) {
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        setConnection(headers)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body, headers, EmptyHttpHeaders.INSTANCE)
        end(context.writeAndFlush(response))
    }

    override fun beginStream(status: HttpResponseStatus, headers: HttpHeaders) {
        if (isHttp10) keepsAlive = false else headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        setConnection(headers)
        context.writeAndFlush(DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers))
    }

    override fun stream(content: ByteBuf) {
        context.writeAndFlush(DefaultHttpContent(content))
        if (!isWritable) proxiedRequest?.setReading(false)
    }

    override fun endStream() {
        end(context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT))
    }

    override fun abort() {
        isClosing = true
        proxiedRequest = null
        context.close()
    }

    private fun setConnection(headers: HttpHeaders) {
        if (state.isDraining) keepsAlive = false
        if (!keepsAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun end(written: io.netty.channel.ChannelFuture) {
        proxiedRequest = null
        if (!keepsAlive) {
            isClosing = true
            written.addListener(ChannelFutureListener { closeGently() })
            return
        }
        awaitRequest()
        // The event loop reads on only after the exchange has ended, so that answers do not nest.
        if (waiting.isNotEmpty()) eventLoop.execute(::readWaiting)
    }

    /** Lets the last answer arrive: closing with unread bytes would reset the connection and lose it. */
    private fun closeGently() {
        val channel = context.channel() as SocketChannel
        if (!channel.isActive) return
        channel.shutdownOutput()
        arm(limits().headerTimeout) { channel.close() }
    }

    private fun awaitRequest() {
        isReadingHead = false
        arm(limits().idleTimeout) { context.close() }
    }

    private fun arm(after: Duration, action: () -> Unit) {
        timer?.cancel(false)
        timer = eventLoop.schedule(action, after.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun enqueue(message: HttpObject) {
        waiting.addLast(message)
        if (waiting.size > MAXIMUM_WAITING) context.channel().config().isAutoRead = false
    }

    private fun readWaiting() {
        while (proxiedRequest == null && !isClosing) {
            val message = waiting.removeFirstOrNull() ?: break
            read(message)
        }
        if (waiting.size <= MAXIMUM_WAITING) context.channel().config().isAutoRead = true
    }

    private fun read(message: HttpObject) {
        try {
            if (message.decoderResult().isFailure) return refuse(statusOf(message.decoderResult().cause()))
            if (message is HttpRequest) begin(message)
            if (message is HttpContent) add(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun begin(head: HttpRequest) {
        isReadingHead = false
        isHttp10 = head.protocolVersion() == HttpVersion.HTTP_1_0
        keepsAlive = HttpUtil.isKeepAlive(head)
        assembler = RequestAssembler(head, limits().bodyBytes)
        arm(limits().idleTimeout) { refuse(HttpResponseStatus.REQUEST_TIMEOUT) }
        if (HttpUtil.is100ContinueExpected(head)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun add(content: HttpContent) {
        val collecting = assembler ?: return
        if (!collecting.add(content)) return refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        if (content !is LastHttpContent) return
        assembler = null
        timer?.cancel(false)
        starter.start(collecting.head, collecting.takeBody(), this)?.let { started ->
            proxiedRequest = started
            started.start()
        }
    }

    /** Answers what cannot be read, and closes: what follows on the connection has no meaning any more. */
    private fun refuse(status: HttpResponseStatus) {
        if (isClosing) return
        assembler?.discard()
        assembler = null
        keepsAlive = false
        respond(status, DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER)
    }

    private fun statusOf(cause: Throwable): HttpResponseStatus = when (cause) {
        is TooLongHttpHeaderException, is TooLongHttpLineException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        else -> HttpResponseStatus.BAD_REQUEST
    }

    private companion object {
        /** Messages of pipelined requests that are kept before reading pauses. */
        const val MAXIMUM_WAITING = 64
    }
}
