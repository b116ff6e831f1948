/*
 * Passes one target's answer on to the caller.
 *
 * Streams are passed on event by event as they come. Other answers are collected first, so that one which breaks can
 * still be asked for again; long ones are passed on from the point at which collecting would cost too much memory.
 */

package org.buckthornwheel.forwarding.exchange

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import org.buckthornwheel.forwarding.dialect.HopByHopHeaders

/** The relay of one answer with [head], to [exchange]. */
internal class ResponseRelay(private val proxiedRequest: ProxiedRequest, head: HttpResponse) {
    val status: HttpResponseStatus = head.status()
    private val headers: HttpHeaders = head.headers().copy().also(HopByHopHeaders::strip)
    private val isStream = proxiedRequest.policy.isStreaming && status.code() == HttpResponseStatus.OK.code()
    private val assembler = EventStreamParser()
    private var collected: CompositeByteBuf? = if (isStream) null else Unpooled.compositeBuffer(MAXIMUM_COMPONENTS)

    /** Whether some of it has gone to the caller. */
    var hasBegun: Boolean = false
        private set

    /** Adds a piece of the body, releasing it. */
    fun add(content: ByteBuf) {
        if (isStream) return addEvents(content)
        val body = collected
        if (body == null) return proxiedRequest.streamBytes(content)
        body.addComponent(true, content)
        if (body.readableBytes() > MAXIMUM_COLLECTED_BYTES && !proxiedRequest.hasBegunStream) passOn(body)
    }

    /** The answer is whole. */
    fun complete() {
        if (isStream) return completeStream()
        val body = collected
        if (body == null) return proxiedRequest.endStream(status.code())
        collected = null
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        proxiedRequest.respond(status, headers, body)
    }

    /** Drops what was collected. */
    fun discard() {
        collected?.release()
        collected = null
        assembler.takeRemainder().release()
    }

    private fun addEvents(content: ByteBuf) {
        for (event in assembler.add(content)) {
            begin()
            proxiedRequest.streamEvent(event)
        }
    }

    private fun completeStream() {
        begin()
        proxiedRequest.streamBytes(assembler.takeRemainder())
        proxiedRequest.endStream(status.code())
    }

    private fun passOn(body: ByteBuf) {
        begin()
        collected = null
        proxiedRequest.streamBytes(body)
    }

    private fun begin() {
        if (hasBegun) return
        hasBegun = true
        headers.remove(HttpHeaderNames.CONTENT_LENGTH)
        proxiedRequest.beginStream(status, headers)
    }

    private companion object {
        /** Largest answer that is collected; plain answers of the users' sheets have under five kilobytes. */
        const val MAXIMUM_COLLECTED_BYTES = 262_144
        const val MAXIMUM_COMPONENTS = 1_024
    }
}
