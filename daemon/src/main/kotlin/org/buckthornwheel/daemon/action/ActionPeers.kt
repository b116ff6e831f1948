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

/** Calls the registered incarnations of the own zone. */
internal class ActionPeers(private val caller: PeerCaller) {
    /** Sends [request] to its recipient; any response of another kind than [Response] counts as none. */
    suspend inline fun <reified Response : ActionResponse> call(
        request: ActionRequest,
    ): Either<ZoneCallFailure, Response> = send(request).flatMap { response ->
        if (response is Response) response.right() else noAnswer(request.recipient, "$response").left()
    }

    suspend fun send(request: ActionRequest): Either<ZoneCallFailure, ActionResponse> {
        val peer = request.recipient
        val address = NetworkAddress.parse(peer.address) ?: return noAnswer(peer, "its address is malformed").left()
        return caller.call(address, request).mapLeft { noAnswer(peer, it.detail) }.flatMap { response ->
            (response as? ActionResponse)?.right() ?: noAnswer(peer, "$response").left()
        }
    }

    fun noAnswer(peer: RegisteredHost, detail: String): ZoneCallFailure =
        ZoneCallFailure("call", peer.toString(), detail)
}
