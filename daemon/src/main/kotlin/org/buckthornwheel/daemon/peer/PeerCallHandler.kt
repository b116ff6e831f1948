package org.buckthornwheel.daemon.peer

import org.buckthornwheel.daemon.action.ActionPeerHandler
import org.buckthornwheel.daemon.configuration.EstateHolder
import org.buckthornwheel.protocol.peer.ActionRequest
import org.buckthornwheel.protocol.peer.FetchNotes
import org.buckthornwheel.protocol.peer.FetchedNotes
import org.buckthornwheel.protocol.peer.PeerRequest
import org.buckthornwheel.protocol.peer.PeerResponse

/** Handles the calls of other hosts; each kind of request goes to the component in charge of it. */
internal class PeerCallHandler(private val estate: EstateHolder, private val actions: ActionPeerHandler) {
    suspend fun handle(request: PeerRequest): PeerResponse = when (request) {
        is FetchNotes -> FetchedNotes(estate.notesAfter(request.after, MAXIMUM_NOTES))
        is ActionRequest -> actions.handle(request)
    }

    private companion object {
        const val MAXIMUM_NOTES = 100
    }
}
