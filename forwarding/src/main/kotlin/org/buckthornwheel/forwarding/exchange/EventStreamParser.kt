/*
 * Splits an event stream (`text/event-stream`) into complete events.
 *
 * Only complete events are relayed, so that another target can continue a stream that broke off in the middle of an
 * event without a truncated or duplicate event. Each byte is scanned once, however small the pieces are in which the
 * bytes arrive.
 */

package org.buckthornwheel.forwarding.exchange

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/** The bytes of one complete event, including its blank line, and its identifier if it has one. */
internal class StreamEvent(val bytes: ByteBuf, val id: String?)

/** Parses the bytes of one stream. Not thread-safe. */
internal class EventStreamParser {
    private val pending: ByteBuf = Unpooled.buffer(INITIAL_BYTES)

    /** Index in [pending] of the first byte that was not scanned. */
    private var scanIndex = 0
    private var isLineEmpty = true

    /** Whether the last event is incomplete. Line ends alone are no event. */
    var isInsideEvent: Boolean = false
        private set

    /** Whether the incomplete event, or the line ends before it, are longer than in any sound stream. */
    val isEventTooLong: Boolean get() = pending.readableBytes() > MAXIMUM_EVENT_BYTES

    /** Adds and releases [content]; returns the events that it completes. */
    fun add(content: ByteBuf): List<StreamEvent> {
        pending.writeBytes(content)
        content.release()
        val events = ArrayList<StreamEvent>()
        while (scanToEventEnd()) {
            val bytes = Unpooled.copiedBuffer(pending.readSlice(scanIndex - pending.readerIndex()))
            events += StreamEvent(bytes, identifier(bytes))
            isInsideEvent = false
        }
        pending.discardReadBytes()
        scanIndex = pending.writerIndex()
        return events
    }

    /** Returns the bytes after the last complete event; the caller has to release them. */
    fun takeRemainder(): ByteBuf = Unpooled.copiedBuffer(pending).also { discardRemainder() }

    /** Removes the bytes after the last complete event. */
    fun discardRemainder() {
        pending.clear()
        scanIndex = 0
        isLineEmpty = true
        isInsideEvent = false
    }

    /** Scans up to the blank line that ends the event; false if the event is not complete. */
    private fun scanToEventEnd(): Boolean {
        while (scanIndex < pending.writerIndex()) {
            when (pending.getByte(scanIndex++)) {
                LINE_FEED -> {
                    if (isLineEmpty && isInsideEvent) return true
                    isLineEmpty = true
                }

                CARRIAGE_RETURN -> Unit

                else -> {
                    isLineEmpty = false
                    isInsideEvent = true
                }
            }
        }
        return false
    }

    private fun identifier(event: ByteBuf): String? = event.toString(Charsets.UTF_8).lineSequence()
        .lastOrNull { it.startsWith(ID_FIELD) }
        ?.substring(ID_FIELD.length)?.trim()

    private companion object {
        const val INITIAL_BYTES = 512

        /** A hundred times an event with some ten tokens. An event without end would fill the memory of the host. */
        const val MAXIMUM_EVENT_BYTES = 65_536
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
