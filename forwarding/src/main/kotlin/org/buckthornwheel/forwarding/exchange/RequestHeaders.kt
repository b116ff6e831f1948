package org.buckthornwheel.forwarding.exchange

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.buckthornwheel.decision.placement.PlacementDecision
import org.buckthornwheel.forwarding.dialect.HopByHopHeaders
import org.buckthornwheel.forwarding.dialect.ReplicaRequestMetadata
import kotlin.time.Duration

/** Derives the headers of a proxied request from those that the caller sent. */
internal object RequestHeaders {
    const val LAST_EVENT_ID = "Last-Event-Id"

    fun forReplica(
        context: ForwardingContext,
        request: ReceivedRequest,
        decision: PlacementDecision.Local,
        remaining: Duration,
        lastEventId: String?,
    ): HttpHeaders {
        val headers = common(request, lastEventId)
        val metadata = ReplicaRequestMetadata(
            decision.replica.id,
            remaining,
            request.policy.priority,
            lastEventId,
            decision.fetchFrom?.address,
        )
        context.dialect.writeRequest(headers, metadata)
        if (request.policy.hasAccounts) context.dialect.writeAccount(headers, request.policy.account)
        return headers
    }

    /** The account goes with the envelope; its key stays at this host. */
    fun forPeer(
        context: ForwardingContext,
        request: ReceivedRequest,
        envelope: PeerEnvelope,
        lastEventId: String?,
    ): HttpHeaders {
        val headers = common(request, lastEventId)
        if (request.policy.hasAccounts) context.dialect.writeAccount(headers, account = null)
        PeerEnvelope.write(headers, envelope)
        return headers
    }

    private fun common(request: ReceivedRequest, lastEventId: String?): HttpHeaders {
        val headers = request.head.headers().copy()
        HopByHopHeaders.strip(headers)
        PeerEnvelope.remove(headers)
        headers.remove(HttpHeaderNames.CONTENT_LENGTH)
        val length = request.body.readableBytes()
        if (length > 0 || request.head.method() != HttpMethod.GET) headers.set(HttpHeaderNames.CONTENT_LENGTH, length)
        lastEventId?.let { headers.set(LAST_EVENT_ID, it) }
        return headers
    }
}
