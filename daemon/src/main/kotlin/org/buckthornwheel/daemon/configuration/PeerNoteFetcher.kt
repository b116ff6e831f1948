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
 * Takes missing notes from other hosts that say that they have applied a later revision.
 *
 * This is how notes reach hosts that do not watch the platform, zones that cannot reach it, and hosts that start
 * while it is away.
 */
internal class PeerNotes(
    private val holder: EstateHolder,
    private val membership: Membership,
    private val caller: PeerCaller,
) {
    private val heard = Channel<Sighting>(Channel.CONFLATED)

    /** Hears of other hosts' revisions. */
    val listener: RevisionListener = RevisionListener { content ->
        if (content.sender.revision > holder.current().revision) {
            heard.trySend(Sighting(content.sender.key, content.sender.revision))
        }
    }

    /** Runs until it is cancelled. */
    suspend fun run() {
        for (sighting in heard) {
            val peer = membership.profileOf(sighting.host)?.peerAddress ?: continue
            do {
                val progressed = fetch(peer)
            } while (progressed && holder.current().revision < sighting.revision)
        }
    }

    /** Takes one page of notes from [peer]; false if it brought nothing new. */
    private suspend fun fetch(peer: NetworkAddress): Boolean {
        val before = holder.current().revision
        caller.call(peer, FetchNotes(before)).fold(
            ifLeft = { Part.CONFIGURATION.warn("No notes came from ${it.peer}: ${it.detail}.") },
            ifRight = { response -> if (response is FetchedNotes) response.notes.forEach(holder::offer) },
        )
        return holder.current().revision > before
    }

    private data class Sighting(val host: HostKey, val revision: Revision)
}
