/*
 * Cuts an event stream (`text/event-stream`) into whole events.
 *
 * Only whole events are passed on, so that a stream that breaks in the middle of one can be continued by another
 * target without a torn or doubled event.
 */

package org.buckthornwheel.forwarding.exchange

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/** The complete bytes of one event, its blank line included, and its identifier if it has one. */
internal class StreamEvent(val bytes: ByteBuf, val id: String?)

/** Collects the bytes of one stream. Not safe for use by several threads. */
internal class EventStreamParser {
    private var pending: ByteBuf = Unpooled.buffer(INITIAL_BYTES)

    /** Bytes of an event that is not whole yet. */
    val pendingBytes: Int get() = pending.readableBytes()

    /** Adds [content], releasing it, and returns the events that are whole now. */
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

    /** The rest after the last whole event. */
    fun takeRemainder(): ByteBuf {
        val rest = Unpooled.copiedBuffer(pending)
        pending.clear()
        return rest
    }

    /** Index after the blank line that ends the first event; negative if there is none yet. */
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
        const val NOT_FOUND = -1
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
