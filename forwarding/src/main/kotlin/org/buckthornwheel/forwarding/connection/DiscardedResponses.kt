package org.buckthornwheel.forwarding.connection

import io.netty.buffer.ByteBuf

/**
 * Counts what a target sends instead of the response to the current request: informational responses, and late
 * responses to earlier requests.
 *
 * Load pattern: a faulty target sends such responses without end. Reading them until the deadline of the request would
 * cost processor time and bandwidth, and the target would not count as faulty.
 */
internal class DiscardedResponses {
    private var heads = 0
    private var bodyBytes = 0L

    /** Counts a head; returns false if there were too many. */
    fun addHead(): Boolean = ++heads <= MAXIMUM_HEADS

    /** Counts a part of a body; returns false if there were too many bytes. */
    fun addBody(content: ByteBuf): Boolean {
        bodyBytes += content.readableBytes()
        return bodyBytes <= MAXIMUM_BODY_BYTES
    }

    private companion object {
        /** A target sends few informational responses, and a late response at most once for each earlier request. */
        const val MAXIMUM_HEADS = 16

        /** Several times the longest response of the users' services. */
        const val MAXIMUM_BODY_BYTES = 262_144L
    }
}
