package org.buckthornwheel.forwarding.exchange

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/** Where the answer to one request goes: the caller's connection. */
internal interface ResponseSink {
    /** Sends a whole answer. */
    fun respond(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf)

    /** Sends the head of an answer whose length is not known yet. */
    fun beginStream(status: HttpResponseStatus, headers: HttpHeaders)

    /** Sends a piece of a streamed answer. */
    fun stream(content: ByteBuf)

    /** Ends a streamed answer that is whole. */
    fun endStream()

    /** Ends an answer that cannot be made whole, so that it does not look whole. */
    fun abort()

    /** Whether the caller takes bytes as fast as they come. */
    val isWritable: Boolean
}
