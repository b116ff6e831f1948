package org.buckthornwheel.daemon.configuration

import kotlinx.coroutines.channels.Channel
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.Revision
import org.buckthornwheel.daemon.membership.RevisionListener
import org.buckthornwheel.daemon.observability.Part
import org.buckthornwheel.daemon.peer.PeerCaller
import org.buckthornwheel.decision.membership.HostKey
import org.buckthornwheel.decision.membership.Membership
import org.buckthornwheel.protocol.peer.FetchNotes
import org.buckthornwheel.protocol.peer.FetchedNotes

/**
 * Fetches missing notes from other hosts that report a later revision.
 *
 * Notes reach hosts this way that do not watch the platform, zones that cannot reach the platform, and hosts that
 * start while it is unavailable.
 */
internal class PeerNoteFetcher(
    private val estateHolder: EstateHolder,
    private val membership: Membership,
    private val caller: PeerCaller,
) {
    private val newerRevisions = Channel<NewerRevision>(Channel.CONFLATED)

    /** Queues a fetch if another host reports a later revision than this host's. */
    val listener: RevisionListener = RevisionListener { content ->
        if (content.sender.revision > estateHolder.current().revision) {
            newerRevisions.trySend(NewerRevision(content.sender.key, content.sender.revision))
        }
    }

    /** Runs until it is cancelled. */
    suspend fun run() {
        for (newer in newerRevisions) {
            val peer = membership.profileOf(newer.host)?.peerAddress ?: continue
            do {
                val progressed = fetch(peer)
            } while (progressed && estateHolder.current().revision < newer.revision)
        }
    }

    /** Fetches one page of notes from [peer]; returns false if no later revision was applied. */
    private suspend fun fetch(peer: NetworkAddress): Boolean {
        val before = estateHolder.current().revision
        caller.call(peer, FetchNotes(before)).fold(
            ifLeft = { Part.CONFIGURATION.warn("No notes could be fetched from ${it.peer}: ${it.detail}.") },
            ifRight = { response -> if (response is FetchedNotes) response.notes.forEach(estateHolder::offer) },
        )
        return estateHolder.current().revision > before
    }

    private data class NewerRevision(val host: HostKey, val revision: Revision)
}
