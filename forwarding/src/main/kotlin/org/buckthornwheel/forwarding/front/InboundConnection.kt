/*
 * An inbound connection. Requests are processed one at a time: each gets its response before the next one is read.
 */

package org.buckthornwheel.forwarding.front

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.EventLoop
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
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.forwarding.exchange.ProxiedRequest
import org.buckthornwheel.forwarding.exchange.ResponseSink
import org.buckthornwheel.forwarding.limits.ConnectionStanding
import org.buckthornwheel.forwarding.limits.EvictableConnection
import org.buckthornwheel.forwarding.limits.Limit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The handler of an inbound connection, at the end of its pipeline. */
internal class InboundConnection(
    private val channel: SocketChannel,
    private val starter: RequestStarter,
    private val resources: InboundResources,
) : ChannelInboundHandlerAdapter(),
    ResponseSink,
    ReadingConnection,
    EvictableConnection {
    private lateinit var context: ChannelHandlerContext
    private val connections = resources.connections
    private val reader =
        RequestReader(channel, this, resources.limits, resources.memory, resources.headerBytes())
    private val unwritten = UnwrittenBytes(channel, resources.memory.responses, ::onWriteProgress)
    private val timer = ConnectionTimer(channel.eventLoop())
    private var waiting: ArrivedRequest? = null
    private var proxiedRequest: ProxiedRequest? = null
    private var keepsAlive = true
    private var isHttp10 = false
    private var isClosing = false
    private var hasServed = false
    private var unwrittenResponses = 0

    @Volatile
    private var idleSince = MonotonicClock.SYSTEM.now()

    val eventLoop: EventLoop get() = channel.eventLoop()

    private val hasRequest: Boolean get() = proxiedRequest != null || waiting != null

    private val isBusy: Boolean get() = hasRequest || reader.isReading

    private val isIdle: Boolean get() = !isBusy && !reader.hasFurtherBytes && unwrittenResponses == 0

    override val isWritable: Boolean get() = unwritten.mayWrite

    override val mayRead: Boolean get() = !hasRequest && !isClosing && unwritten.mayWrite

    override val standing: ConnectionStanding? get() = when {
        hasRequest -> null
        isClosing || reader.isReading -> ConnectionStanding.UNFINISHED
        else -> if (hasServed) ConnectionStanding.IDLE else ConnectionStanding.UNUSED
    }

    override val lastProgress: MonotonicInstant get() = maxOf(idleSince, reader.lastProgress)

    override fun handlerAdded(added: ChannelHandlerContext) {
        context = added
        added.pipeline()
            .addBefore(added.name(), null, reader.gate)
            .addBefore(added.name(), null, reader.decoder)
            .addBefore(added.name(), null, HttpResponseEncoder())
    }

    override fun channelActive(active: ChannelHandlerContext) {
        connections.opened(this)
        awaitRequest()
    }

    override fun channelRead(reading: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpObject && !isClosing) read(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(inactive: ChannelHandlerContext) {
        isClosing = true
        timer.cancel()
        connections.closed(this)
        reader.close()
        unwritten.close()
        waiting?.body?.release()
        waiting = null
        val running = proxiedRequest
        proxiedRequest = null
        running?.cancel()
    }

    override fun channelWritabilityChanged(changed: ChannelHandlerContext): Unit = onWriteProgress()

    override fun exceptionCaught(caught: ChannelHandlerContext, cause: Throwable) {
        caught.close()
    }

    /** Ends the request in progress if its prompt parts are quarantined. */
    fun recheckQuarantine() {
        proxiedRequest?.recheckQuarantine()
    }

    /** Closes the connection if its caller keeps memory without progress that others wait for. */
    fun relieve(shortage: MemoryShortage) {
        val now = MonotonicClock.SYSTEM.now()
        val patience = if (shortage.ofResponses) PATIENCE_UNDER_PRESSURE else resources.limits().idleTimeout
        when {
            isClosing -> Unit

            unwritten.hasStalled(now, patience) -> {
                resources.limitLog.record(Limit.UNREAD_RESPONSE)
                context.close()
            }

            shortage.ofRequests -> reader.relieve(now)
        }
    }

    override fun evict(): Unit = eventLoop.execute { if (!hasRequest) context.close() }

    /** Closes the connection if it has been idle for [minimumIdle]; otherwise, its next response announces that. */
    fun drain(minimumIdle: Duration) {
        if (!hasBeenIdle(minimumIdle)) return
        // A busy event loop may not have read a request yet that has arrived; closing would discard it.
        (channel as NioSocketChannel).unsafe().read()
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
        if (isHttp10) endWithConnection() else headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        // A stopping host does not announce the end here, since requests may still arrive behind the stream.
        if (!keepsAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        context.writeAndFlush(DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers))
    }

    /** Without chunks, an orderly close would mark the response as complete, whoever closes before its end. */
    private fun endWithConnection() {
        keepsAlive = false
        if (channel.isOpen) channel.config().soLinger = RESET_ON_CLOSE
    }

    override fun stream(content: ByteBuf) {
        unwritten.written(context.writeAndFlush(DefaultHttpContent(content)))
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

    /** During the shutdown, the connection is closed after the last of the requests that were read already. */
    private fun setConnection(headers: HttpHeaders) {
        if (connections.isDraining && !reader.hasFurtherBytes) keepsAlive = false
        if (!keepsAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun end(written: ChannelFuture) {
        proxiedRequest = null
        hasServed = true
        isClosing = !keepsAlive
        unwrittenResponses += 1
        unwritten.written(written)
        written.addListener(ChannelFutureListener { onResponseWritten() })
        if (isClosing) return reader.close()
        reader.endRequest()
        awaitRequest()
        // The next request is read in a later task of the event loop, so that responses do not nest.
        if (reader.hasFurtherBytes) eventLoop.execute(reader::resume)
    }

    private fun onResponseWritten() {
        unwrittenResponses -= 1
        idleSince = MonotonicClock.SYSTEM.now()
        if (isClosing && unwrittenResponses == 0) halfClose()
    }

    private fun onWriteProgress() {
        proxiedRequest?.setReading(isWritable)
        if (mayRead && reader.hasFurtherBytes) eventLoop.execute(reader::resume)
    }

    /** Half-closes, since closing with unread bytes would reset the connection and lose the last response. */
    private fun halfClose() {
        if (!channel.isActive) return
        channel.config().soLinger = CLOSE_IN_ORDER
        channel.shutdownOutput()
        timer.schedule(resources.limits().headerTimeout) { channel.close() }
    }

    /** Closes the connection if it stays idle; requests that arrive and unread responses have limits of their own. */
    private fun awaitRequest() {
        timer.schedule(resources.limits().idleTimeout) {
            if (isIdle) {
                context.close()
            } else if (!hasRequest) {
                awaitRequest()
            }
        }
    }

    private fun read(message: HttpObject) {
        if (message.decoderResult().isFailure) return reject(statusOf(message.decoderResult().cause()))
        if (message is HttpRequest) begin(message)
        if (message is HttpContent && !isClosing) reader.add(message)
    }

    private fun begin(head: HttpRequest) {
        timer.cancel()
        isHttp10 = head.protocolVersion() == HttpVersion.HTTP_1_0
        keepsAlive = HttpUtil.isKeepAlive(head)
        reader.begin(head)
    }

    override fun sendContinue() {
        context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
    }

    override fun onRequest(request: ArrivedRequest): Unit = startOrWait(request)

    private fun startOrWait(request: ArrivedRequest) {
        waiting = request
        if (starter.mustWait()) return timer.schedule(START_CHECK_INTERVAL) { startOrWait(request) }
        waiting = null
        starter.start(request, this)?.let { started ->
            proxiedRequest = started
            started.start()
        }
    }

    override fun refuse(refusal: Refusal) {
        refusal.limit?.let(resources.limitLog::record)
        reject(refusal.status)
    }

    /** Rejects an unreadable request and closes the connection, since the bytes after it cannot be interpreted. */
    private fun reject(status: HttpResponseStatus) {
        if (isClosing) return
        keepsAlive = false
        val headers = DefaultHttpHeaders()
        if (status == HttpResponseStatus.SERVICE_UNAVAILABLE) headers.set(HttpHeaderNames.RETRY_AFTER, 1)
        respond(status, headers, Unpooled.EMPTY_BUFFER)
    }

    private fun statusOf(cause: Throwable): HttpResponseStatus = when (cause) {
        is TooLongHttpHeaderException, is TooLongHttpLineException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        else -> HttpResponseStatus.BAD_REQUEST
    }

    private companion object {
        /** Values of SO_LINGER. */
        const val RESET_ON_CLOSE = 0
        const val CLOSE_IN_ORDER = -1

        /** Interval between checks whether a waiting request can be started; small compared to a target latency. */
        val START_CHECK_INTERVAL = 10.milliseconds

        /**
         * Time without reading after which a caller is taken to read no more of its response while others need the
         * memory; several retransmissions of lost packets. Otherwise, it has the time for which it may be idle.
         */
        val PATIENCE_UNDER_PRESSURE = 2.seconds
    }
}
