package org.buckthornwheel.daemon.request

import arrow.core.Either
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import org.buckthornwheel.api.GatewayFailure
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.Step
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.daemon.membership.AddressBook
import org.buckthornwheel.decision.membership.HostProfile
import org.buckthornwheel.protocol.caller.CallerHeaders
import org.buckthornwheel.protocol.peer.ForwardEnvelope
import org.buckthornwheel.protocol.peer.PeerCodec
import java.util.Base64

/** Path on the peer listener to which requests are forwarded. */
internal const val FORWARD_PATH: String = "/peer/v1/forward"

/** Forwards a request to a host of another zone, which then chooses the target. */
internal class PeerForwarder(
    private val client: UpstreamClient,
    private val codec: PeerCodec,
    private val addresses: AddressBook,
    private val host: HostName,
    private val zone: ZoneName,
    private val clock: MonotonicClock,
) {
    /** Forwards [request] to [peer] and reads the complete response. */
    suspend fun execute(peer: HostProfile, request: GatewayRequest): Either<GatewayFailure, BufferedResponse> =
        client.execute(upstreamRequest(peer, request))

    /** Calls [consume] with the data of each event; succeeds only if the stream was complete. */
    suspend fun stream(
        peer: HostProfile,
        request: GatewayRequest,
        consume: suspend (ResponseOrigin, String) -> EventVerdict,
    ): Either<GatewayFailure, Unit> = client.stream(upstreamRequest(peer, request), consume)

    private fun upstreamRequest(peer: HostProfile, request: GatewayRequest): UpstreamRequest = UpstreamRequest(
        peer = Upstream(peer.name.value, Step.FORWARD),
        id = request.id,
        timeout = request.deadline - clock.now(),
        deadline = request.deadline,
        build = { build(peer, request) },
    )

    private fun HttpRequestBuilder.build(peer: HostProfile, request: GatewayRequest) {
        method = HttpMethod.Post
        url("http://${addresses.reachableAddress(peer.peerAddress)}$FORWARD_PATH")
        header(CallerHeaders.ENVELOPE, Base64.getEncoder().encodeToString(codec.encode(envelope(request))))
        contentType(ContentType.Application.Json)
        setBody(request.body)
    }

    private fun envelope(request: GatewayRequest): ForwardEnvelope = ForwardEnvelope(
        requestId = request.id,
        sender = host,
        account = request.account,
        path = request.path,
        reads = (request.work as? RequestedWork.ServiceCall)?.isGet ?: false,
        hops = request.scope.hops + 1,
        visitedZones = request.scope.visitedZones + zone,
        remainingMilliseconds = (request.deadline - clock.now()).inWholeMilliseconds,
        permittedRegions = request.scope.permittedRegions?.toList(),
        idempotencyKey = request.idempotencyKey,
        firstAttempt = request.firstAttempt,
        bodySha256 = sha256(request.body),
    )
}
