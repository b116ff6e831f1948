package org.buckthornwheel.forwarding.connection

import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes responses, and tells whether bytes have arrived that are not decoded yet. */
internal class ResponseDecoder : HttpResponseDecoder() {
    /** Whether a part of a head or body has arrived that is too short to be decoded. */
    val hasUndecodedBytes: Boolean get() = actualReadableBytes() > 0
}
