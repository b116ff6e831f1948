package org.buckthornwheel.forwarding.dialect

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** Removes headers that concern one connection only (RFC 9110, section 7.6.1). */
internal object HopByHopHeaders {
    private val ALWAYS = listOf(
        HttpHeaderNames.CONNECTION,
        HttpHeaderNames.TE,
        HttpHeaderNames.TRAILER,
        HttpHeaderNames.TRANSFER_ENCODING,
        HttpHeaderNames.UPGRADE,
        HttpHeaderNames.EXPECT,
        HttpHeaderNames.PROXY_AUTHENTICATE,
        HttpHeaderNames.PROXY_AUTHORIZATION,
    ).map { it.toString() } + listOf("Keep-Alive", "Proxy-Connection")

    /** Names that a connection option must not remove: without them the message means something else. */
    private val KEPT = setOf("host", "content-length")

    /** Strips [headers] in place. */
    fun strip(headers: HttpHeaders) {
        for (value in headers.getAll(HttpHeaderNames.CONNECTION)) {
            value.split(',').map { it.trim() }
                .filter { it.isNotEmpty() && it.lowercase() !in KEPT }
                .forEach { headers.remove(it) }
        }
        ALWAYS.forEach { headers.remove(it) }
    }
}
