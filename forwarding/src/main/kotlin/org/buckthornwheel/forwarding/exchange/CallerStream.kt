package org.buckthornwheel.forwarding.exchange

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/**
 * The streamed response as sent to the caller so far.
 *
 * Several attempts may contribute to it: the first one sends the head, later ones continue after the last event.
 */
internal class CallerStream(private val sink: ResponseSink) {
    /** Whether the head was sent. */
    var hasBegun: Boolean = false
        private set

    /** Identifier of the last event that was sent; null before the first one. */
    var lastEventId: String? = null
        private set

    /** Sends the head unless one was sent before. */
    fun begin(status: HttpResponseStatus, headers: HttpHeaders) {
        if (hasBegun) return
        hasBegun = true
        sink.beginStream(status, headers)
    }

    /** Sends [event] unless it was sent before. */
    fun add(event: StreamEvent) {
        if (isAlreadySent(event.id)) {
            event.bytes.release()
            return
        }
        event.id?.let { lastEventId = it }
        sink.stream(event.bytes)
    }

    /** Sends bytes that are not an event. */
    fun add(bytes: ByteBuf): Unit = sink.stream(bytes)

    private fun isAlreadySent(id: String?): Boolean {
        val last = lastEventId?.toLongOrNull() ?: return false
        val number = id?.toLongOrNull() ?: return false
        return number <= last
    }
}
