/*
 * Reads whole requests of callers and of other hosts, finds their terms, and starts their exchanges.
 */

package org.buckthornwheel.forwarding.front

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.manifest.Manifest
import org.buckthornwheel.decision.manifest.Route
import org.buckthornwheel.forwarding.connection.TargetPool
import org.buckthornwheel.forwarding.dialect.RequestMetadata
import org.buckthornwheel.forwarding.exchange.Exchange
import org.buckthornwheel.forwarding.exchange.ForwardingContext
import org.buckthornwheel.forwarding.exchange.PeerEnvelope
import org.buckthornwheel.forwarding.exchange.ReceivedRequest
import org.buckthornwheel.forwarding.exchange.RequestTerms
import org.buckthornwheel.forwarding.observability.LogPart
import java.util.concurrent.ThreadLocalRandom

/** Starts requests of callers. */
internal class CallerEntry(private val context: ForwardingContext, private val pool: TargetPool) : RequestStarter {
    override fun start(head: HttpRequest, body: ByteBuf, connection: FrontConnection): Exchange? {
        val refusal = EntryRefusal(context, body, connection)
        val facts = context.dialect.readRequest(head.headers())
            ?: return refusal.send(HttpResponseStatus.BAD_REQUEST, "no request id", null)
        val manifest = context.routingState.manifest
            ?: return refusal.send(HttpResponseStatus.SERVICE_UNAVAILABLE, "no manifest yet", facts)
        val route = route(manifest, head, facts, refusal) ?: return null
        val request = ReceivedRequest(head, body, facts, terms(manifest, route, facts, context.clock.now()))
        return Exchange(context, pool, connection.eventLoop, request, connection)
    }

    /** The route of the request; null after a refusal. */
    private fun route(manifest: Manifest, head: HttpRequest, facts: RequestMetadata, refusal: EntryRefusal): Route? {
        val host = head.headers().getAll(HttpHeaderNames.HOST).singleOrNull()
        if (host == null || !head.uri().startsWith('/')) {
            refusal.send(HttpResponseStatus.BAD_REQUEST, "no single host or no path", facts)
            return null
        }
        val route = manifest.select(hostName(host), head.uri().substringBefore('?'))
        if (route == null) refusal.send(HttpResponseStatus.NOT_FOUND, "no route in manifest ${manifest.version}", facts)
        return route
    }

    private fun hostName(host: String): String = host.substringBefore(':').lowercase()

    private fun terms(manifest: Manifest, route: Route, facts: RequestMetadata, now: MonotonicInstant): RequestTerms {
        val limit = facts.remaining?.let { minOf(it, route.timeout) } ?: route.timeout
        return RequestTerms(
            routeName = route.name,
            version = manifest.version,
            service = route.service(ThreadLocalRandom.current().nextDouble()),
            kind = route.kind,
            isResumable = route.isResumable,
            priority = route.priority,
            targetLatency = route.targetLatency,
            maximumAttempts = maxOf(1, route.maximumAttempts),
            homeRegions = route.homeRegions,
            arrivedAt = now,
            end = now + limit,
            mayForward = true,
        )
    }
}

/** Starts requests that a host of another region passes on. */
internal class PeerEntry(private val context: ForwardingContext, private val pool: TargetPool) : RequestStarter {
    override fun start(head: HttpRequest, body: ByteBuf, connection: FrontConnection): Exchange? {
        val refusal = EntryRefusal(context, body, connection)
        val envelope = PeerEnvelope.take(head.headers())
        val facts = context.dialect.readRequest(head.headers())
        if (envelope == null || facts == null) {
            return refusal.send(HttpResponseStatus.BAD_REQUEST, "no envelope", facts)
        }
        val request = ReceivedRequest(head, body, facts, envelope.terms(context.clock.now()))
        return Exchange(context, pool, connection.eventLoop, request, connection)
    }
}

/** Answers a request that does not become an exchange. */
private class EntryRefusal(
    private val context: ForwardingContext,
    private val body: ByteBuf,
    private val connection: FrontConnection,
) {
    fun send(status: HttpResponseStatus, reason: String, facts: RequestMetadata?): Exchange? {
        body.release()
        val headers = DefaultHttpHeaders()
        facts?.let { context.dialect.writeGatewayResponse(headers, it.id) }
        if (status == HttpResponseStatus.SERVICE_UNAVAILABLE) headers.set(HttpHeaderNames.RETRY_AFTER, START_PAUSE)
        context.log.write(LogPart.REQUEST, "answered") {
            put("request", facts?.id?.value)
            put("status", status.code())
            put("reason", reason)
        }
        connection.answer(status, headers, Unpooled.EMPTY_BUFFER)
        return null
    }

    private companion object {
        /** Seconds after which a host that has just started knows the manifest: 0.04 to 0.35 s on the users' bench. */
        const val START_PAUSE = "0.2"
    }
}
