package org.buckthornwheel.daemon.action

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.daemon.peer.PeerCaller
import org.buckthornwheel.decision.ledger.RegisteredHost
import org.buckthornwheel.decision.ledger.ZoneCallFailure
import org.buckthornwheel.protocol.peer.ActionRequest
import org.buckthornwheel.protocol.peer.ActionResponse

/** Sends action requests to the registered incarnations of the local zone. */
internal class ActionPeers(private val caller: PeerCaller) {
    /** Sends [request] to its recipient; a response of another type than [Response] is a failure. */
    suspend inline fun <reified Response : ActionResponse> call(
        request: ActionRequest,
    ): Either<ZoneCallFailure, Response> = send(request).flatMap { response ->
        if (response is Response) response.right() else callFailure(request.recipient, "$response").left()
    }

    suspend fun send(request: ActionRequest): Either<ZoneCallFailure, ActionResponse> {
        val peer = request.recipient
        val address = NetworkAddress.parse(peer.address) ?: return callFailure(peer, "its address is malformed").left()
        return caller.call(address, request).mapLeft { callFailure(peer, it.detail) }.flatMap { response ->
            (response as? ActionResponse)?.right() ?: callFailure(peer, "$response").left()
        }
    }

    fun callFailure(peer: RegisteredHost, detail: String): ZoneCallFailure =
        ZoneCallFailure("call", peer.toString(), detail)
}
