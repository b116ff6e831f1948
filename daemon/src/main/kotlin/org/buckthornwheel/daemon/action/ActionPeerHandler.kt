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

/** Answers action requests from other hosts of the zone, if they are addressed to this incarnation. */
internal class ActionPeerHandler(
    private val self: RegisteredHost,
    private val handler: PeerRequestHandler,
    private val clock: MonotonicClock,
) {
    fun handle(request: ActionRequest): ActionResponse =
        if (request.recipient == self) answer(request) else OtherIncarnation

    private fun answer(request: ActionRequest): ActionResponse = when (request) {
        is AskPromise -> PromiseResponse(handler.promise(request.key, request.bodySha256, request.hold, clock.now()))
        is AskResult -> ResultResponse(handler.resultOf(request.key, request.bodySha256, clock.now()))
        is SayHello -> HelloResponse(handler.handleHello(request.newcomer))
        is TakeOverKeys -> KeysResponse(handler.exportShard(request.shard))
        is HandOverKeys -> HandOverResponse(handler.handOver(request.entries, clock.now()))
        is ReleasePromise -> acknowledge { handler.release(request.key, request.hold, clock.now()) }
        is SayFarewell -> acknowledge { handler.handleFarewell(request.leaver, request.registered) }
    }

    private fun acknowledge(block: () -> Unit): ActionResponse {
        block()
        return ActionAcknowledged
    }
}
