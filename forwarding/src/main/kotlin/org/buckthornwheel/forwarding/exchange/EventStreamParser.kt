/*
 * Splits an event stream (`text/event-stream`) into complete events.
 *
 * Only complete events are relayed, so that another target can continue a stream that broke off in the middle of an
 * event without a truncated or duplicate event.
 */

package org.buckthornwheel.forwarding.exchange

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/** The bytes of one complete event, including its blank line, and its identifier if it has one. */
internal class StreamEvent(val bytes: ByteBuf, val id: String?)

/** Parses the bytes of one stream. Not thread-safe. */
internal class EventStreamParser {
    private var pending: ByteBuf = Unpooled.buffer(INITIAL_BYTES)

    /** Whether the incomplete event is longer than any event of a sound stream. */
    val isEventTooLong: Boolean get() = pending.readableBytes() > MAXIMUM_EVENT_BYTES

    /** Whether the last event is incomplete. */
    val isInsideEvent: Boolean get() = pending.isReadable

    /** Adds and releases [content]; returns the events that it completes. */
    fun add(content: ByteBuf): List<StreamEvent> {
        pending.writeBytes(content)
        content.release()
        val events = ArrayList<StreamEvent>()
        while (true) {
            val end = eventEnd()
            if (end < 0) break
            val bytes = Unpooled.copiedBuffer(pending.readSlice(end - pending.readerIndex()))
            events += StreamEvent(bytes, identifier(bytes))
        }
        pending.discardReadBytes()
        return events
    }

    /** Removes the bytes after the last complete event. */
    fun discardRemainder() {
        pending.clear()
    }

    /** Index after the blank line that ends the first event; negative if the event is not complete. */
    private fun eventEnd(): Int {
        var lineLength = 0
        for (index in pending.readerIndex() until pending.writerIndex()) {
            when (pending.getByte(index)) {
                LINE_FEED -> {
                    if (lineLength == 0) return index + 1
                    lineLength = 0
                }

                CARRIAGE_RETURN -> Unit

                else -> lineLength += 1
            }
        }
        return NOT_FOUND
    }

    private fun identifier(event: ByteBuf): String? = event.toString(Charsets.UTF_8).lineSequence()
        .lastOrNull { it.startsWith(ID_FIELD) }
        ?.substring(ID_FIELD.length)?.trim()

    private companion object {
        const val INITIAL_BYTES = 512

        /** A hundred times an event with some ten tokens. An event without end would fill the memory of the host. */
        const val MAXIMUM_EVENT_BYTES = 65_536
        const val NOT_FOUND = -1
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
