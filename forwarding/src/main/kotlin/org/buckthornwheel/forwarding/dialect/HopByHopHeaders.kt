package org.buckthornwheel.forwarding.dialect

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** Removes hop-by-hop headers (RFC 9110, section 7.6.1). */
internal object HopByHopHeaders {
    private val HOP_BY_HOP = listOf(
        HttpHeaderNames.CONNECTION,
        HttpHeaderNames.TE,
        HttpHeaderNames.TRAILER,
        HttpHeaderNames.TRANSFER_ENCODING,
        HttpHeaderNames.UPGRADE,
        HttpHeaderNames.EXPECT,
        HttpHeaderNames.PROXY_AUTHENTICATE,
        HttpHeaderNames.PROXY_AUTHORIZATION,
    ).map { it.toString() } + listOf("Keep-Alive", "Proxy-Connection")

    /** Headers that a connection option must not remove, since that would change the meaning of the message. */
    private val PROTECTED = setOf("host", "content-length")

    /** Removes the hop-by-hop headers from [headers]. */
    fun strip(headers: HttpHeaders) {
        for (value in headers.getAll(HttpHeaderNames.CONNECTION)) {
            value.split(',').map { it.trim() }
                .filter { it.isNotEmpty() && it.lowercase() !in PROTECTED }
                .forEach { headers.remove(it) }
        }
        HOP_BY_HOP.forEach { headers.remove(it) }
    }
}
