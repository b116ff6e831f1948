/*
 * An inbound connection. Requests are processed one at a time: each gets its response before the next one is started.
 */

package org.buckthornwheel.forwarding.front

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
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
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.forwarding.exchange.ProxiedRequest
import org.buckthornwheel.forwarding.exchange.ResponseSink
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A complete request, and the time [at] which its last byte was read. */
internal class ArrivedRequest(val head: HttpRequest, val body: ByteBuf, val at: MonotonicInstant)

/** Starts complete requests. */
internal interface RequestStarter {
    /** Whether a request cannot be started yet, but probably soon. */
    fun mustWait(): Boolean

    /** The proxied request for [request]; null if a response was sent immediately. */
    fun start(request: ArrivedRequest, connection: InboundConnection): ProxiedRequest?
}

/** Limits of a connection, from the manifest in force. */
internal class InboundLimits(val bodyBytes: Int, val headerTimeout: Duration, val idleTimeout: Duration)

internal class InboundConnection(
    private val starter: RequestStarter,
    private val limits: () -> InboundLimits,
    private val connections: InboundConnections,
) : ChannelInboundHandlerAdapter(),
    ResponseSink {
    private lateinit var context: ChannelHandlerContext
    private val queue = ArrayDeque<HttpObject>()
    private var assembler: RequestAssembler? = null
    private var waiting: ArrivedRequest? = null
    private var proxiedRequest: ProxiedRequest? = null
    private var keepsAlive = true
    private var isHttp10 = false
    private var isClosing = false
    private var timer: ScheduledFuture<*>? = null
    private var isReadingHead = false
    private var unwrittenResponses = 0
    private var idleSince = MonotonicClock.SYSTEM.now()

    val eventLoop get() = context.channel().eventLoop()

    private val hasRequest: Boolean get() = proxiedRequest != null || waiting != null

    private val isBusy: Boolean get() = hasRequest || assembler != null || isReadingHead

    private val isIdle: Boolean get() = !isBusy && queue.isEmpty() && unwrittenResponses == 0

    override val isWritable: Boolean get() = context.channel().isWritable

    override fun handlerAdded(added: ChannelHandlerContext) {
        context = added
    }

    override fun channelActive(active: ChannelHandlerContext) {
        connections.opened(this)
        awaitRequest()
    }

    /** Called when bytes arrive; the first bytes of a head start the time limit for the rest of it. */
    fun onBytes() {
        if (isBusy || isClosing) return
        isReadingHead = true
        scheduleTimer(limits().headerTimeout) { reject(HttpResponseStatus.REQUEST_TIMEOUT) }
    }

    override fun channelRead(reading: ChannelHandlerContext, message: Any) {
        if (message !is HttpObject || isClosing) {
            ReferenceCountUtil.release(message)
            return
        }
        if (hasRequest) return enqueue(message)
        read(message)
    }

    override fun channelInactive(inactive: ChannelHandlerContext) {
        isClosing = true
        timer?.cancel(false)
        connections.closed(this)
        assembler?.discard()
        assembler = null
        waiting?.body?.release()
        waiting = null
        queue.forEach(ReferenceCountUtil::release)
        queue.clear()
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

    /** Ends the request in progress if its prompt parts are quarantined. */
    fun recheckQuarantine() {
        proxiedRequest?.recheckQuarantine()
    }

    /** Closes the connection if it has been idle for [minimumIdle]; otherwise, its next response announces that. */
    fun drain(minimumIdle: Duration) {
        if (!hasBeenIdle(minimumIdle)) return
        // A busy event loop may not have read a request yet that has arrived; closing would discard it.
        (context.channel() as NioSocketChannel).unsafe().read()
        if (hasBeenIdle(minimumIdle)) context.close()
    }

    private fun hasBeenIdle(minimumIdle: Duration): Boolean =
        isIdle && MonotonicClock.SYSTEM.now() - idleSince >= minimumIdle

    /** Called when the host itself ends: answers the request in progress or the one that is arriving. */
    fun onHostEnd() {
        if (isClosing || waiting != null) return
        val running = proxiedRequest
        when {
            running != null -> running.onHostEnd()
            isBusy -> reject(HttpResponseStatus.SERVICE_UNAVAILABLE)
            isIdle -> context.close()
        }
    }

    override fun respond(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf) {
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        setConnection(headers)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body, headers, EmptyHttpHeaders.INSTANCE)
        end(context.writeAndFlush(response))
    }

    override fun beginStream(status: HttpResponseStatus, headers: HttpHeaders) {
        if (isHttp10) keepsAlive = false else headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        // A stopping host does not announce the end here, since requests may still arrive behind the stream.
        if (!keepsAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
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
        // Without chunks, an orderly close would mark the response as complete.
        if (isHttp10) context.channel().config().setOption(ChannelOption.SO_LINGER, 0)
        context.close()
    }

    /** During the shutdown, the connection is closed after the last of the requests that were read already. */
    private fun setConnection(headers: HttpHeaders) {
        if (connections.isDraining && queue.isEmpty()) keepsAlive = false
        if (!keepsAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun end(written: io.netty.channel.ChannelFuture) {
        proxiedRequest = null
        isClosing = !keepsAlive
        unwrittenResponses += 1
        written.addListener(ChannelFutureListener { onResponseWritten() })
        if (isClosing) return
        awaitRequest()
        // The next request is read in a later task of the event loop, so that responses do not nest.
        if (queue.isNotEmpty()) eventLoop.execute(::readQueue)
    }

    private fun onResponseWritten() {
        unwrittenResponses -= 1
        idleSince = MonotonicClock.SYSTEM.now()
        if (isClosing && unwrittenResponses == 0) halfClose()
    }

    /** Half-closes, since closing with unread bytes would reset the connection and lose the last response. */
    private fun halfClose() {
        val channel = context.channel() as SocketChannel
        if (!channel.isActive) return
        channel.shutdownOutput()
        scheduleTimer(limits().headerTimeout) { channel.close() }
    }

    private fun awaitRequest() {
        isReadingHead = false
        scheduleTimer(limits().idleTimeout) { context.close() }
    }

    private fun scheduleTimer(after: Duration, action: () -> Unit) {
        timer?.cancel(false)
        timer = eventLoop.schedule(action, after.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun enqueue(message: HttpObject) {
        queue.addLast(message)
        if (queue.size > MAXIMUM_QUEUED_MESSAGES) context.channel().config().isAutoRead = false
    }

    private fun readQueue() {
        while (!hasRequest && !isClosing) {
            val message = queue.removeFirstOrNull() ?: break
            read(message)
        }
        if (queue.size <= MAXIMUM_QUEUED_MESSAGES) context.channel().config().isAutoRead = true
    }

    private fun read(message: HttpObject) {
        try {
            if (message.decoderResult().isFailure) return reject(statusOf(message.decoderResult().cause()))
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
        scheduleTimer(limits().idleTimeout) { reject(HttpResponseStatus.REQUEST_TIMEOUT) }
        if (HttpUtil.is100ContinueExpected(head)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun add(content: HttpContent) {
        val collecting = assembler ?: return
        if (!collecting.add(content)) return reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        if (content !is LastHttpContent) return
        assembler = null
        timer?.cancel(false)
        startOrWait(ArrivedRequest(collecting.head, collecting.takeBody(), MonotonicClock.SYSTEM.now()))
    }

    private fun startOrWait(request: ArrivedRequest) {
        waiting = request
        if (starter.mustWait()) return scheduleTimer(START_CHECK_INTERVAL) { startOrWait(request) }
        waiting = null
        starter.start(request, this)?.let { started ->
            proxiedRequest = started
            started.start()
        }
    }

    /** Rejects an unreadable request and closes the connection, since the bytes after it cannot be interpreted. */
    private fun reject(status: HttpResponseStatus) {
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
        /** Number of queued messages of pipelined requests above which reading is paused. */
        const val MAXIMUM_QUEUED_MESSAGES = 64

        /** Interval between checks whether a waiting request can be started; small compared to a target latency. */
        val START_CHECK_INTERVAL = 10.milliseconds
    }
}
