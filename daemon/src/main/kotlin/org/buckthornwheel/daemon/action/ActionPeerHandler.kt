package org.buckthornwheel.daemon.action

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.decision.ledger.PeerRequestHandler
import org.buckthornwheel.decision.ledger.RegisteredHost
import org.buckthornwheel.protocol.peer.ActionAcknowledged
import org.buckthornwheel.protocol.peer.ActionRequest
import org.buckthornwheel.protocol.peer.ActionResponse
import org.buckthornwheel.protocol.peer.AskPromise
import org.buckthornwheel.protocol.peer.AskResult
import org.buckthornwheel.protocol.peer.HandOverKeys
import org.buckthornwheel.protocol.peer.HandOverResponse
import org.buckthornwheel.protocol.peer.HelloResponse
import org.buckthornwheel.protocol.peer.KeysResponse
import org.buckthornwheel.protocol.peer.OtherIncarnation
import org.buckthornwheel.protocol.peer.PromiseResponse
import org.buckthornwheel.protocol.peer.ReleasePromise
import org.buckthornwheel.protocol.peer.ResultResponse
import org.buckthornwheel.protocol.peer.SayFarewell
import org.buckthornwheel.protocol.peer.SayHello
import org.buckthornwheel.protocol.peer.TakeOverKeys

/** Answers the calls of the zone's other hosts about actions, if they are meant for this incarnation. */
internal class ActionPeerHandler(
    private val self: RegisteredHost,
    private val peer: PeerRequestHandler,
    private val clock: MonotonicClock,
) {
    fun handle(request: ActionRequest): ActionResponse =
        if (request.recipient == self) answer(request) else OtherIncarnation

    private fun answer(request: ActionRequest): ActionResponse = when (request) {
        is AskPromise -> PromiseResponse(peer.promise(request.key, request.bodySha256, request.hold, clock.now()))
        is AskResult -> ResultResponse(peer.resultOf(request.key, request.bodySha256, clock.now()))
        is SayHello -> HelloResponse(peer.handleHello(request.newcomer))
        is TakeOverKeys -> KeysResponse(peer.exportShard(request.shard))
        is HandOverKeys -> HandOverResponse(peer.handOver(request.entries, clock.now()))
        is ReleasePromise -> acknowledge { peer.release(request.key, request.hold, clock.now()) }
        is SayFarewell -> acknowledge { peer.handleFarewell(request.leaver, request.registered) }
    }

    private fun acknowledge(block: () -> Unit): ActionResponse {
        block()
        return ActionAcknowledged
    }
}
