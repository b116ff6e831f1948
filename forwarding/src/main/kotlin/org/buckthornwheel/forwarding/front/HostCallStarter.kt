package org.buckthornwheel.forwarding.front

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder
import org.buckthornwheel.forwarding.exchange.HostCall
import org.buckthornwheel.forwarding.exchange.PeerEnvelope
import org.buckthornwheel.forwarding.exchange.ProxiedRequest

/**
 * Answers the [calls] of other hosts, by their paths; passes all other requests to [requests].
 *
 * A request with an envelope is a forwarded one. Its path is the caller's and may be any path.
 */
internal class HostCallStarter(private val calls: Map<String, HostCall>, private val requests: RequestStarter) :
    RequestStarter {
    override fun mustWait(): Boolean = requests.mustWait()

    override fun start(request: ArrivedRequest, connection: InboundConnection): ProxiedRequest? {
        val isForwarded = PeerEnvelope.isIn(request.head.headers())
        val call = if (isForwarded) null else calls[request.head.uri().substringBefore('?')]
        val parameters = call?.let { parameters(request.head.uri()) }
        if (call == null || parameters == null) return requests.start(request, connection)
        request.body.release()
        val text = call.respond(parameters)
        val status = if (text == null) HttpResponseStatus.NO_CONTENT else HttpResponseStatus.OK
        connection.respond(status, DefaultHttpHeaders(), Unpooled.wrappedBuffer(text.orEmpty().encodeToByteArray()))
        return null
    }

    /** The parameters of [uri]; null if they cannot be decoded. */
    private fun parameters(uri: String): Map<String, String>? = try {
        QueryStringDecoder(uri).parameters().mapValues { (_, values) -> values.first() }
    } catch (_: IllegalArgumentException) {
        null
    }
}
