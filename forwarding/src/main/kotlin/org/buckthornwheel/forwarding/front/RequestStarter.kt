package org.buckthornwheel.forwarding.front

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.forwarding.exchange.ProxiedRequest

/** A complete request, and the time [at] which its last byte was read. */
internal class ArrivedRequest(val head: HttpRequest, val body: ByteBuf, val at: MonotonicInstant)

/** Starts complete requests. */
internal interface RequestStarter {
    /** Whether a request cannot be started yet, but probably soon. */
    fun mustWait(): Boolean

    /** The proxied request for [request]; null if a response was sent immediately. */
    fun start(request: ArrivedRequest, connection: InboundConnection): ProxiedRequest?
}
