/*
 * Turns complete requests of callers and of other hosts into proxied requests with their policy.
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
import org.buckthornwheel.decision.startup.StartupAdmission
import org.buckthornwheel.forwarding.connection.TargetPool
import org.buckthornwheel.forwarding.dialect.RequestMetadata
import org.buckthornwheel.forwarding.exchange.ForwardingContext
import org.buckthornwheel.forwarding.exchange.PeerEnvelope
import org.buckthornwheel.forwarding.exchange.ProxiedRequest
import org.buckthornwheel.forwarding.exchange.ReceivedRequest
import org.buckthornwheel.forwarding.exchange.RequestPolicy
import org.buckthornwheel.forwarding.observability.LogPart
import java.util.concurrent.ThreadLocalRandom

/** Starts the requests of callers, with the policy of their route. */
internal class CallerRequestStarter(
    private val context: ForwardingContext,
    private val pool: TargetPool,
    private val startup: StartupAdmission,
) : RequestStarter {
    override fun mustWait(): Boolean = context.routingState.manifest == null && !context.shutdown.hasBegun &&
        startup.mayWait(context.clock.now())

    override fun start(request: ArrivedRequest, connection: InboundConnection): ProxiedRequest? {
        val head = request.head
        val rejection = RequestRejection(context, request.body, connection)
        val metadata = context.dialect.readRequest(head.headers())
            ?: return rejection.send(HttpResponseStatus.BAD_REQUEST, "missing request identifier", null)
        val manifest = context.routingState.manifest
            ?: return rejection.send(HttpResponseStatus.SERVICE_UNAVAILABLE, "no manifest yet", metadata)
        val route = route(manifest, head, metadata, rejection) ?: return null
        val received = ReceivedRequest(head, request.body, metadata, policy(manifest, route, metadata, request.at))
        return ProxiedRequest(context, pool, connection.eventLoop, received, connection)
    }

    /** The route of the request; null if the request was rejected. */
    private fun route(
        manifest: Manifest,
        head: HttpRequest,
        metadata: RequestMetadata,
        rejection: RequestRejection,
    ): Route? {
        val host = head.headers().getAll(HttpHeaderNames.HOST).singleOrNull()
        if (host == null || !head.uri().startsWith('/')) {
            rejection.send(HttpResponseStatus.BAD_REQUEST, "not exactly one Host header, or no path", metadata)
            return null
        }
        val route = manifest.select(hostName(host), head.uri().substringBefore('?'))
        if (route == null) {
            rejection.send(HttpResponseStatus.NOT_FOUND, "no route in manifest ${manifest.version}", metadata)
        }
        return route
    }

    private fun hostName(host: String): String = host.substringBefore(':').lowercase()

    private fun policy(
        manifest: Manifest,
        route: Route,
        metadata: RequestMetadata,
        arrivedAt: MonotonicInstant,
    ): RequestPolicy {
        val limit = metadata.remaining?.let { minOf(it, route.timeout) } ?: route.timeout
        return RequestPolicy(
            routeName = route.name,
            version = manifest.version,
            service = route.service(ThreadLocalRandom.current().nextDouble()),
            kind = route.kind,
            isResumable = route.isResumable,
            priority = route.priority,
            targetLatency = route.targetLatency,
            maximumAttempts = maxOf(1, route.maximumAttempts),
            homeRegions = route.homeRegions,
            arrivedAt = arrivedAt,
            deadline = arrivedAt + limit,
            mayForward = true,
        )
    }
}

/** Starts requests that a host of another region forwards. */
internal class PeerRequestStarter(private val context: ForwardingContext, private val pool: TargetPool) :
    RequestStarter {
    override fun mustWait(): Boolean = false

    override fun start(request: ArrivedRequest, connection: InboundConnection): ProxiedRequest? {
        val head = request.head
        val rejection = RequestRejection(context, request.body, connection)
        val envelope = PeerEnvelope.extract(head.headers())
        val metadata = context.dialect.readRequest(head.headers())
        if (envelope == null || metadata == null) {
            return rejection.send(HttpResponseStatus.BAD_REQUEST, "missing or invalid envelope", metadata)
        }
        val received = ReceivedRequest(head, request.body, metadata, envelope.policy(request.at))
        return ProxiedRequest(context, pool, connection.eventLoop, received, connection)
    }
}

/** Rejects a request that cannot be proxied. */
private class RequestRejection(
    private val context: ForwardingContext,
    private val body: ByteBuf,
    private val connection: InboundConnection,
) {
    fun send(status: HttpResponseStatus, reason: String, metadata: RequestMetadata?): ProxiedRequest? {
        body.release()
        val headers = DefaultHttpHeaders()
        metadata?.let { context.dialect.writeGatewayResponse(headers, it.id) }
        if (status == HttpResponseStatus.SERVICE_UNAVAILABLE) {
            headers.set(HttpHeaderNames.RETRY_AFTER, STARTUP_RETRY_AFTER_SECONDS)
        }
        context.log.write(LogPart.REQUEST, "answered") {
            put("request", metadata?.id?.value)
            put("status", status.code())
            put("reason", reason)
        }
        connection.respond(status, headers, Unpooled.EMPTY_BUFFER)
        return null
    }

    private companion object {
        /** A host that has just started has a manifest after 0.04 to 0.35 s on the users' bench. */
        const val STARTUP_RETRY_AFTER_SECONDS = "0.2"
    }
}
