package org.buckthornwheel.forwarding.front

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.serialization.json.put
import org.buckthornwheel.forwarding.exchange.PeerEnvelope
import org.buckthornwheel.forwarding.exchange.ProxiedRequest
import org.buckthornwheel.forwarding.membership.EstateRecovery
import org.buckthornwheel.forwarding.membership.EstateSync
import org.buckthornwheel.forwarding.observability.DecisionLog
import org.buckthornwheel.forwarding.observability.LogPart

/**
 * Serves estate changes to hosts that cannot read them from the store; passes all other requests to [requests].
 *
 * A request with an envelope is a forwarded one. Its path is the caller's and may be any path.
 */
internal class EstateRequestStarter(
    private val estateSync: () -> EstateSync,
    private val requests: RequestStarter,
    private val log: DecisionLog,
) : RequestStarter {
    override fun mustWait(): Boolean = requests.mustWait()

    override fun start(request: ArrivedRequest, connection: InboundConnection): ProxiedRequest? {
        val query = QueryStringDecoder(request.head.uri())
        if (PeerEnvelope.isIn(request.head.headers()) || query.path() != EstateRecovery.PATH) {
            return requests.start(request, connection)
        }
        request.body.release()
        val after = query.parameters()[EstateRecovery.AFTER]?.firstOrNull()?.toLongOrNull() ?: 0
        val changes = estateSync().changesAfter(after)
        val status = if (changes == null) HttpResponseStatus.NO_CONTENT else HttpResponseStatus.OK
        val bytes = Unpooled.wrappedBuffer(changes.orEmpty().encodeToByteArray())
        log.write(LogPart.STORE, "changes sent to a peer") {
            put("after", after)
            put("bytes", bytes.readableBytes())
        }
        connection.respond(status, DefaultHttpHeaders(), bytes)
        return null
    }
}
