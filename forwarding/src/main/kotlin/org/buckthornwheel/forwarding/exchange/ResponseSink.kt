package org.buckthornwheel.forwarding.exchange

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/** Receives the response to one request; implemented by the caller's connection. */
internal interface ResponseSink {
    /** Sends a complete response. */
    fun respond(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf)

    /** Sends the head of a response whose length is not known yet. */
    fun beginStream(status: HttpResponseStatus, headers: HttpHeaders)

    /** Sends a part of a streamed response. */
    fun stream(content: ByteBuf)

    /** Ends a streamed response that is complete. */
    fun endStream()

    /** Ends a response that cannot be completed, in a way that the caller recognizes it as truncated. */
    fun abort()

    /** Whether more bytes may be written; false while the caller reads too slowly. */
    val isWritable: Boolean
}
