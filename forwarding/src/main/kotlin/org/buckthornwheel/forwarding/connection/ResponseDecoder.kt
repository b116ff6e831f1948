package org.buckthornwheel.forwarding.connection

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes responses, and tells whether bytes have arrived that are not decoded yet.
 *
 * A message whose status line names no version of HTTP/1 or no status fails to decode, as any other bytes that are no
 * response: a caller could not tell from such a number whether its request succeeded.
 */
internal class ResponseDecoder : HttpResponseDecoder() {
    /** Whether a part of a head or body has arrived that is too short to be decoded. */
    val hasUndecodedBytes: Boolean get() = actualReadableBytes() > 0

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val version = initialLine[VERSION_INDEX]
        val status = initialLine[STATUS_INDEX]
        require(VERSION.matches(version)) { "no version of HTTP/1: $version" }
        require(STATUS.matches(status)) { "no status: $status" }
        return super.createMessage(initialLine)
    }

    private companion object {
        const val VERSION_INDEX = 0
        const val STATUS_INDEX = 1
        val VERSION = Regex("HTTP/1\\.[0-9]")

        /** Three digits from 100 to 599; others have no class that defines what they mean (RFC 9110, section 15). */
        val STATUS = Regex("[1-5][0-9]{2}")
    }
}
