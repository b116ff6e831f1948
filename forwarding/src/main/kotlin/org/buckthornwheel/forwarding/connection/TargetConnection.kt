package org.buckthornwheel.forwarding.connection

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.memory.MemoryBudget
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A connection to a target, with at most one request at a time.
 *
 * It is returned to the pool only at the end of a read in which no bytes followed the response. Bytes that arrive while
 * no request waits for a response belong to no request, even if they are only the first part of a head: the rest would
 * look like the response to the next request. A connection that received such bytes is closed.
 */
internal class TargetConnection(
    val channel: Channel,
    private val pool: TargetPool,
    val key: TargetKey,
    private val decoder: ResponseDecoder,
) : ChannelInboundHandlerAdapter() {
    private var listener: ResponseListener? = null
    private var discarded = DiscardedResponses()
    private var isDiscarding = false
    private var isBodyExpected = false
    private var mayReuse = true
    private var isReleasePending = false
    private var failureReason: String? = null
    private var isClosedHere = false

    /** Time at which the last response ended; null before the first one. */
    var idleSince: MonotonicInstant? = null

    /** Idle time before the current request; null for the first request, and once the response has begun. */
    private var idleBefore: Duration? = null

    /** Idle timeout in the target's last `Keep-Alive` header; null if there was none. */
    var announcedIdle: Duration? = null
        private set

    /** Whether the connection carried an earlier request, to which a late second response may still arrive. */
    var isReused: Boolean = false
        private set

    /** Memory in which its responses are buffered. */
    val responseMemory: MemoryBudget get() = pool.responseMemory

    val isOpen: Boolean get() = channel.isActive && failureReason == null

    fun send(request: HttpRequest, body: ByteBuf, receiver: ResponseListener) {
        listener = receiver
        isReused = idleSince != null
        idleBefore = idleSince?.let { MonotonicClock.SYSTEM.now() - it }
        isDiscarding = false
        discarded = DiscardedResponses()
        channel.write(request)
        channel.writeAndFlush(DefaultLastHttpContent(body)).addListener(
            ChannelFutureListener { future ->
                if (!future.isSuccess) fail("write failed: ${future.cause()}", isConnectionLost = true)
            },
        )
    }

    /** Cancels the request, and with it the target's work, by closing the connection. */
    fun cancel() {
        listener = null
        close()
    }

    /** Closes the connection, which carries no request. */
    fun close() {
        isClosedHere = true
        channel.close()
    }

    fun setReading(reads: Boolean) {
        channel.config().isAutoRead = reads
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpResponse) readHead(message)
            if (message is HttpContent) readContent(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun readHead(head: HttpResponse) {
        val receiver = listener ?: return fail("bytes after the response")
        idleBefore = null
        if (head.decoderResult().isFailure) return fail("invalid response head: ${head.decoderResult().cause()}")
        if (head.status() == HttpResponseStatus.SWITCHING_PROTOCOLS) return fail("change of protocol not asked for")
        isDiscarding = head.status().codeClass() == HttpStatusClass.INFORMATIONAL || !receiver.accepts(head)
        isBodyExpected = true
        if (!HttpUtil.isKeepAlive(head)) mayReuse = false
        if (isDiscarding) return if (discarded.addHead()) Unit else fail("too many responses to other requests")
        announcedIdle = KeepAliveHeader.idleTime(head.headers())
        receiver.onHead(head)
    }

    private fun readContent(content: HttpContent) {
        if (content.decoderResult().isFailure) return fail("unreadable body: ${content.decoderResult().cause()}")
        if (failureReason != null || !isBodyExpected) return
        if (isDiscarding && !discarded.addBody(content.content())) return fail("too long a response to another request")
        if (!isDiscarding && content.content().isReadable) listener?.onContent(content.content().retain())
        if (content !is LastHttpContent) return
        isBodyExpected = false
        if (isDiscarding) return
        val receiver = listener
        listener = null
        isReleasePending = true
        receiver?.onComplete()
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (listener == null && decoder.hasUndecodedBytes) fail("bytes after the response")
        if (isReleasePending) {
            isReleasePending = false
            if (mayReuse && isOpen) pool.release(this) else close()
        }
        context.fireChannelReadComplete()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        fail("connection closed", isConnectionLost = true)
        pool.remove(this)
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        fail(cause.toString(), isConnectionLost = cause is IOException)
    }

    private fun fail(reason: String, isConnectionLost: Boolean = false) {
        if (failureReason != null) return
        failureReason = reason
        val receiver = listener
        listener = null
        if (isConnectionLost && !isClosedHere) pool.onLost(this, isBusy = receiver != null)
        channel.close()
        if (receiver == null) return
        val isStale = idleBefore?.let(pool::isStale) ?: false
        receiver.onFailure(ConnectionFailure(reason, isStale, isConnectionLost))
    }
}

/** Reads the parameters of the `Keep-Alive` header. */
internal object KeepAliveHeader {
    fun idleTime(headers: HttpHeaders): Duration? {
        if (headers.containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true)) return Duration.ZERO
        val parameters = headers.get("Keep-Alive") ?: return null
        return parameters.split(',')
            .map { it.trim() }
            .firstOrNull { it.startsWith("timeout=", ignoreCase = true) }
            ?.substringAfter('=')?.trim()?.toLongOrNull()
            ?.seconds
    }
}
