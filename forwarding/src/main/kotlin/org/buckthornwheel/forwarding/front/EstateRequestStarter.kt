package org.buckthornwheel.forwarding.front

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder
import org.buckthornwheel.forwarding.exchange.ProxiedRequest
import org.buckthornwheel.forwarding.membership.EstateRecovery
import org.buckthornwheel.forwarding.membership.EstateSync

/** Serves estate changes to hosts that cannot read them from the store; passes all other requests to [requests]. */
internal class EstateRequestStarter(private val estateSync: () -> EstateSync, private val requests: RequestStarter) :
    RequestStarter {
    override fun mustWait(): Boolean = requests.mustWait()

    override fun start(request: ArrivedRequest, connection: InboundConnection): ProxiedRequest? {
        val query = QueryStringDecoder(request.head.uri())
        if (query.path() != EstateRecovery.PATH) return requests.start(request, connection)
        request.body.release()
        val after = query.parameters()[EstateRecovery.AFTER]?.firstOrNull()?.toLongOrNull() ?: 0
        val changes = estateSync().changesAfter(after)
        val status = if (changes == null) HttpResponseStatus.NO_CONTENT else HttpResponseStatus.OK
        val bytes = Unpooled.wrappedBuffer(changes.orEmpty().encodeToByteArray())
        connection.respond(status, DefaultHttpHeaders(), bytes)
        return null
    }
}
