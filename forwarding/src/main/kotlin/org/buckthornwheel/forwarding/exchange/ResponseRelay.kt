/*
 * Relays the response of one target to the caller.
 *
 * Streams are relayed event by event as they arrive. Other responses are buffered first, so that a request can still be
 * retried if its response breaks off. A long response is relayed from the point at which buffering would cost too much
 * memory.
 */

package org.buckthornwheel.forwarding.exchange

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import org.buckthornwheel.decision.memory.MemoryBudget
import org.buckthornwheel.decision.memory.Reservation
import org.buckthornwheel.forwarding.dialect.HopByHopHeaders

/** What a part of a response contributed to it. */
internal enum class RelayResult {
    /** It contained data that the caller can use. */
    USABLE,

    /** It did not complete an event. */
    INCOMPLETE,

    /** The response is longer than a sound one can be; nothing more of it must be relayed. */
    TOO_LONG,
}

/**
 * Relays the response with the given [head] to the caller of [proxiedRequest]; buffers within [memory].
 *
 * @param onRelaying called before the first part of it is sent to the caller.
 */
internal class ResponseRelay(
    proxiedRequest: ProxiedRequest,
    head: HttpResponse,
    memory: MemoryBudget,
    private val onRelaying: () -> Unit,
) {
    private val response = proxiedRequest.response
    val status: HttpResponseStatus = head.status()
    private val headers: HttpHeaders = head.headers().copy().also(HopByHopHeaders::strip)
    private val isStream = proxiedRequest.policy.isStreaming && status.code() == HttpResponseStatus.OK.code()
    private val eventParser = EventStreamParser()
    private var buffered: CompositeByteBuf? = if (isStream) null else Unpooled.compositeBuffer(MAXIMUM_COMPONENTS)

    private val reservation = Reservation(memory)

    /** The encoder drops the body of such a response, so that the caller would get a success without it. */
    private val mustBeEmpty = status == HttpResponseStatus.RESET_CONTENT
    private val mayStream = status.codeClass() == HttpStatusClass.SUCCESS && !mustBeEmpty

    /** Whether streaming to the caller has begun. */
    var hasBegun: Boolean = false
        private set

    /** Adds a part of the body and releases [content]. */
    fun add(content: ByteBuf): RelayResult {
        if (isStream) return addEvents(content)
        val body = buffered
        if (body == null) {
            response.streamBytes(content)
            return RelayResult.USABLE
        }
        body.addComponent(true, content)
        if (mayBuffer(body.readableBytes()) || response.hasBegunStream) return RelayResult.USABLE
        if (!mayStream) return RelayResult.TOO_LONG
        streamBuffered(body)
        return RelayResult.USABLE
    }

    /** Whether the response is a stream inside an event. At its end, it has broken off, whatever its framing says. */
    val isInsideEvent: Boolean get() = isStream && eventParser.isInsideEvent

    /** Called when the response is complete. */
    fun complete() {
        if (isStream) return completeStream()
        val body = buffered
        if (body == null) return response.endStream(status.code())
        buffered = null
        reservation.close()
        onRelaying()
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        response.respond(status, headers, body)
    }

    /** Releases the buffered body and the incomplete event. */
    fun discard() {
        buffered?.release()
        buffered = null
        reservation.close()
        eventParser.discardRemainder()
    }

    /** A short error response is buffered in any case, since it cannot be streamed. */
    private fun mayBuffer(length: Int): Boolean = when {
        mustBeEmpty || length > MAXIMUM_BUFFERED_BYTES -> false
        reservation.tryResize(length.toLong()) -> true
        else -> status.codeClass() != HttpStatusClass.SUCCESS && length <= SHORT_ERROR_BYTES
    }

    private fun addEvents(content: ByteBuf): RelayResult {
        val events = eventParser.add(content)
        for (event in events) {
            begin()
            response.streamEvent(event)
        }
        return when {
            eventParser.isEventTooLong -> RelayResult.TOO_LONG
            events.isEmpty() -> RelayResult.INCOMPLETE
            else -> RelayResult.USABLE
        }
    }

    private fun completeStream() {
        begin()
        response.streamBytes(eventParser.takeRemainder())
        response.endStream(status.code())
    }

    private fun streamBuffered(body: ByteBuf) {
        begin()
        buffered = null
        reservation.close()
        response.streamBytes(body)
    }

    private fun begin() {
        if (hasBegun) return
        hasBegun = true
        onRelaying()
        headers.remove(HttpHeaderNames.CONTENT_LENGTH)
        response.beginStream(status, headers)
    }

    private companion object {
        /**
         * Largest response that is buffered, and largest body of an error response. Non-streaming responses in the
         * users' data sheets are below 5 kB.
         */
        const val MAXIMUM_BUFFERED_BYTES = 262_144
        const val SHORT_ERROR_BYTES = 16_384
        const val MAXIMUM_COMPONENTS = 1_024
    }
}
