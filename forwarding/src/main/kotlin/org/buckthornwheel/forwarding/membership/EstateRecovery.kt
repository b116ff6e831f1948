/*
 * Learns from other hosts what the store tells them.
 *
 * Heartbeats carry the revision that each host knows. A host that stays behind another one for a while asks it: the
 * reason may be a store that turns it away, a silent connection, or a cut, and need not be known. A host that stands by
 * does not follow the store at all while primary hosts of its region do, as each call to the store costs.
 */

package org.buckthornwheel.forwarding.membership

import io.netty.channel.EventLoop
import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.decision.entry.EntryHost
import org.buckthornwheel.forwarding.client.CallResult
import org.buckthornwheel.forwarding.client.HttpCall
import org.buckthornwheel.forwarding.client.HttpServiceClient
import org.buckthornwheel.forwarding.observability.DecisionLog
import org.buckthornwheel.forwarding.observability.LogPart
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Keeps [share] from staying behind other hosts. All calls come from [loop]. */
internal class EstateRecovery(
    private val self: EntryHost,
    private val share: () -> EstateSync,
    private val followsPeers: () -> Boolean,
    private val loop: EventLoop,
    private val log: DecisionLog,
) {
    /** The nearest host that knows more, and since when there is one. */
    private class PeerAhead(val peer: EntryHost, val revision: Long, val since: MonotonicInstant)

    private val callers = HashMap<NetworkAddress, HttpServiceClient>()
    private var ahead: PeerAhead? = null
    private var isRequesting = false

    /** Notes that [peer] knows [revision]. */
    fun heard(peer: EntryHost, revision: Long, now: MonotonicInstant) {
        val known = share().revision
        val present = ahead?.takeIf { it.revision > known }
        ahead = when {
            revision <= known -> present
            present == null -> PeerAhead(peer, revision, now)
            distance(peer) <= distance(present.peer) -> PeerAhead(peer, present.revision, present.since)
            else -> present
        }
    }

    /** Asks, if this host has been behind for long enough. */
    fun check(now: MonotonicInstant) {
        val known = share().revision
        val present = ahead?.takeIf { it.revision > known } ?: return
        val delay = if (followsPeers()) Duration.ZERO else CATCH_UP_DELAY
        if (isRequesting || now - present.since < delay) return
        isRequesting = true
        val address = present.peer.peerAddress
        val caller = callers.getOrPut(address) { HttpServiceClient(loop, address) }
        caller.call(HttpCall("GET", "$PATH?$AFTER=$known", timeout = TIMEOUT)) { take(it, present, known) }
    }

    private fun distance(peer: EntryHost): Int = when {
        peer.zone == self.zone -> 0
        peer.region == self.region -> 1
        else -> 2
    }

    private fun take(result: CallResult, asked: PeerAhead, after: Long) {
        isRequesting = false
        val response = result as? CallResult.Answered
        if (response != null && response.status == OK) return share().applyChanges(response.body)
        ahead = null
        log.write(LogPart.STORE, "peer did not tell") {
            put("peer", asked.peer.name.value)
            put("revision", after)
            put("reason", response?.status?.toString() ?: result.toString())
        }
    }

    internal companion object {
        /** Path and parameter of the question between hosts. */
        const val PATH = "/estate"
        const val AFTER = "after"
        private const val OK = 200

        /** Hosts that follow the store hear from it within half a second of each other; heartbeats come as often. */
        private val CATCH_UP_DELAY = 1_200.milliseconds
        private val TIMEOUT = 2.seconds
    }
}
