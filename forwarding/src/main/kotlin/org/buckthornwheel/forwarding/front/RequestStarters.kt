/*
 * Turns complete requests of callers and of other hosts into proxied requests with their policy.
 */

package org.buckthornwheel.forwarding.front

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.decision.manifest.Manifest
import org.buckthornwheel.decision.manifest.Route
import org.buckthornwheel.decision.startup.StartupAdmission
import org.buckthornwheel.forwarding.connection.TargetPool
import org.buckthornwheel.forwarding.dialect.RequestMetadata
import org.buckthornwheel.forwarding.exchange.ForwardingContext
import org.buckthornwheel.forwarding.exchange.HomesInForce
import org.buckthornwheel.forwarding.exchange.PeerEnvelope
import org.buckthornwheel.forwarding.exchange.ProxiedRequest
import org.buckthornwheel.forwarding.exchange.ReceivedRequest
import org.buckthornwheel.forwarding.exchange.RequestPolicy
import org.buckthornwheel.forwarding.exchange.RetryGrants
import java.util.concurrent.ThreadLocalRandom

/** Starts the requests of callers, with the policy of their route. */
internal class CallerRequestStarter(
    private val context: ForwardingContext,
    private val pool: TargetPool,
    private val startup: StartupAdmission,
) : RequestStarter {
    private val authentication = CallerAuthentication(context)

    override fun mustWait(): Boolean {
        if (context.routingState.awaitsHosts) return false
        val isIncomplete = context.routingState.manifest == null || context.currency.refusesAccounts
        return isIncomplete && !context.shutdown.hasBegun && startup.mayWait(context.clock.now())
    }

    override fun start(request: ArrivedRequest, connection: InboundConnection): ProxiedRequest? {
        val head = request.head
        val rejection = RequestRejection(context, request.body, connection)
        val metadata = context.dialect.readRequest(head.headers())
            ?: return rejection.send(HttpResponseStatus.BAD_REQUEST, "missing request identifier", null)
        val current = context.routingState.current
            ?: return rejection.send(HttpResponseStatus.SERVICE_UNAVAILABLE, "no manifest yet", metadata)
        val route = route(current.manifest, head, metadata, rejection) ?: return null
        val now = context.clock.now()
        return when (val result = authentication.authenticate(current, route, head.headers(), metadata, now)) {
            is Authentication.Rejected -> rejection.send(result, metadata)
            is Authentication.Accepted -> {
                val policy = policy(current.manifest, route, metadata, result, request.at)
                val received = ReceivedRequest(head, request.body, metadata, policy, result.charge)
                ProxiedRequest(context, pool, connection.eventLoop, received, connection)
            }
        }
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
        val route = manifest.select(HomesInForce.hostName(head), head.uri().substringBefore('?'))
        if (route == null) {
            rejection.send(HttpResponseStatus.NOT_FOUND, "no route in manifest ${manifest.version}", metadata)
        }
        return route
    }

    /** A stream that may be taken up again stays with its service. */
    private fun service(route: Route, metadata: RequestMetadata): ServiceName {
        if (!route.isResumable) return route.service(ThreadLocalRandom.current().nextDouble())
        return route.service(metadata.resumedRequest ?: metadata.id)
    }

    private fun policy(
        manifest: Manifest,
        route: Route,
        metadata: RequestMetadata,
        caller: Authentication.Accepted,
        arrivedAt: MonotonicInstant,
    ): RequestPolicy {
        val limit = metadata.remaining?.let { minOf(it, route.timeout) } ?: route.timeout
        return RequestPolicy(
            routeName = route.name,
            version = manifest.version,
            service = service(route, metadata),
            kind = route.kind,
            isResumable = route.isResumable,
            priority = caller.account?.let { manifest.accountPriorities.of(it, route) } ?: route.priority,
            targetLatency = route.targetLatency,
            maximumAttempts = maxOf(1, route.maximumAttempts),
            homeRegions = caller.homeRegions,
            arrivedAt = arrivedAt,
            deadline = arrivedAt + limit,
            mayForward = true,
            account = caller.account?.name,
            hasAccounts = manifest.requiresAccounts,
        )
    }
}

/** Starts requests that a host of another region forwards, which grants their retries through [grants]. */
internal class PeerRequestStarter(
    private val context: ForwardingContext,
    private val pool: TargetPool,
    private val grants: RetryGrants,
) : RequestStarter {
    override fun mustWait(): Boolean = false

    override fun start(request: ArrivedRequest, connection: InboundConnection): ProxiedRequest? {
        val head = request.head
        val rejection = RequestRejection(context, request.body, connection)
        val envelope = PeerEnvelope.extract(head.headers())
        val metadata = context.dialect.readRequest(head.headers())
        if (envelope == null || metadata == null) {
            return rejection.send(HttpResponseStatus.BAD_REQUEST, "missing or invalid envelope", metadata)
        }
        val hasAccounts = context.routingState.manifest?.requiresAccounts ?: false
        val received = ReceivedRequest(head, request.body, metadata, envelope.policy(request.at, hasAccounts))
        return ProxiedRequest(context, pool, connection.eventLoop, received, connection, grants)
    }
}
