package org.buckthornwheel.forwarding.front

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/** A request decoder that rejects messages whose length is ambiguous (RFC 9112, section 6.3). */
internal class StrictRequestDecoder(maximumHeaderBytes: Int) :
    HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(maximumHeaderBytes)
            .setMaxHeaderSize(maximumHeaderBytes)
            .setMaxChunkSize(MAXIMUM_CHUNK_BYTES),
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and chunked Transfer-Encoding")

    private companion object {
        const val MAXIMUM_CHUNK_BYTES = 65_536
    }
}
