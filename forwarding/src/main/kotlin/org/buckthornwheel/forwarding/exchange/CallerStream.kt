package org.buckthornwheel.forwarding.exchange

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/**
 * A streamed answer as the caller has it.
 *
 * Several attempts may contribute to it: the first brings the head, a later one goes on after the last event.
 */
internal class CallerStream(private val sink: ResponseSink) {
    /** Whether the caller has the head. */
    var hasBegun: Boolean = false
        private set

    /** Identifier of the last event that the caller has; null before the first one. */
    var lastEventId: String? = null
        private set

    /** Sends the head, unless the caller has one. */
    fun begin(status: HttpResponseStatus, headers: HttpHeaders) {
        if (hasBegun) return
        hasBegun = true
        sink.beginStream(status, headers)
    }

    /** Passes on [event], unless the caller has it already. */
    fun add(event: StreamEvent) {
        if (isAlreadySent(event.id)) {
            event.bytes.release()
            return
        }
        event.id?.let { lastEventId = it }
        sink.stream(event.bytes)
    }

    /** Passes on bytes that are no event. */
    fun add(bytes: ByteBuf): Unit = sink.stream(bytes)

    private fun isAlreadySent(id: String?): Boolean {
        val last = lastEventId?.toLongOrNull() ?: return false
        val number = id?.toLongOrNull() ?: return false
        return number <= last
    }
}
