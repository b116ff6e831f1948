/*
 * Fetches estate changes from other hosts that have a newer revision.
 *
 * Heartbeats carry the store revision of each host. A host that stays behind another one for a while fetches the
 * missing changes from it. The cause does not matter: it may be a store that rejects its calls, a stalled connection,
 * or a network partition. A standby host does not watch the store at all while primary hosts of its region do, since
 * each call to the store has a cost.
 */

package org.buckthornwheel.forwarding.membership

import io.netty.channel.EventLoop
import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.decision.entry.EntryHostProfile
import org.buckthornwheel.forwarding.client.CallResult
import org.buckthornwheel.forwarding.client.HttpCall
import org.buckthornwheel.forwarding.client.HttpServiceClient
import org.buckthornwheel.forwarding.observability.DecisionLog
import org.buckthornwheel.forwarding.observability.LogPart
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps [estateSync] up to date with other hosts. All functions are called on [loop].
 *
 * After the store has returned from a copy, a host that starts reads an older manifest than others know, at a revision
 * that is not behind theirs. So the version of the manifest is compared too. One that this host lacks although it has
 * read the store at least as far as the other host is requested at once, and the manifest in force no longer counts as
 * current.
 */
internal class EstateRecovery(
    private val self: EntryHostProfile,
    private val estateSync: () -> EstateSync,
    private val manifest: ManifestInForce,
    private val followsPrimaries: () -> Boolean,
    private val loop: EventLoop,
    private val log: DecisionLog,
) {
    private val clients = HashMap<NetworkAddress, HttpServiceClient>()
    private val newerRevision = PeerAhead({ estateSync().revision }, ::distance)
    private val newerManifest = PeerAhead({ manifest.version }, ::distance)
    private val manifestDelay = CatchUpDelay(CATCH_UP_DELAY, LONGEST_MANIFEST_DELAY)
    private var isRequesting = false
    private var missingVersion = 0L
    private var isManifestDue = false

    /** Records that [peer] has [revision], and the manifest [version] in force. */
    fun onHeartbeat(peer: EntryHostProfile, revision: EstateRevision, version: Long, now: MonotonicInstant) {
        newerRevision.record(peer, revision, now)
        newerManifest.record(peer, version, now)
        manifestDelay.record(version)
        recordMissing(peer, revision, version)
        if (isManifestDue) check(now)
    }

    /** The own revision is read first, since a manifest comes into force before the revision that it belongs to. */
    private fun recordMissing(peer: EntryHostProfile, revision: EstateRevision, version: Long) {
        val isAsFar = estateSync().revision >= revision
        if (!isAsFar || version <= manifest.version || version <= missingVersion) return
        missingVersion = version
        isManifestDue = true
        log.write(LogPart.MANIFEST, "missing in the store") {
            put("manifest", version)
            put("own-manifest", manifest.version)
            put("peer", peer.name.value)
        }
        manifest.recordVersion(version)
    }

    /** Requests the missing changes if this host has been behind for long enough. */
    fun check(now: MonotonicInstant) {
        if (isRequesting) return
        val delay = if (followsPrimaries()) Duration.ZERO else CATCH_UP_DELAY
        val byRevision = newerRevision.behindFor(delay, now)
        if (byRevision != null) return request(byRevision, estateSync().revision)
        val manifestLag = if (isManifestDue) Duration.ZERO else manifestDelay.of(manifest.version)
        val byManifest = newerManifest.behindFor(manifestLag, now) ?: return
        isManifestDue = false
        newerManifest.forget()
        request(byManifest, EstateRevision.NONE, onAnswer = manifestDelay::recordAnswer)
    }

    private fun request(peer: EntryHostProfile, after: EstateRevision, onAnswer: () -> Unit = {}) {
        isRequesting = true
        val address = peer.peerAddress
        val client = clients.getOrPut(address) { HttpServiceClient(loop, address) }
        val uri = "$PATH?$AFTER=${after.number}&$ERA=${after.era}"
        client.call(HttpCall("GET", uri, timeout = TIMEOUT)) { result ->
            if (result is CallResult.Answered && result.status == OK) onAnswer()
            onResult(result, peer, after)
        }
    }

    private fun distance(peer: EntryHostProfile): Int = when {
        peer.zone == self.zone -> 0
        peer.region == self.region -> 1
        else -> 2
    }

    private fun onResult(result: CallResult, source: EntryHostProfile, after: EstateRevision) {
        isRequesting = false
        val response = result as? CallResult.Answered
        if (response != null && response.status == OK) return estateSync().applyChanges(response.body)
        newerRevision.forget()
        log.write(LogPart.STORE, "peer did not tell") {
            put("peer", source.name.value)
            put("era", after.era)
            put("revision", after.number)
            put("reason", response?.status?.toString() ?: result.toString())
        }
    }

    internal companion object {
        /** Path and parameters of the request between hosts. */
        const val PATH = "/estate"
        const val AFTER = "after"
        const val ERA = "era"
        private const val OK = 200

        /** Hosts that watch the store get a change within half a second of each other; heartbeats are as frequent. */
        private val CATCH_UP_DELAY = 1_200.milliseconds

        /** A host that cannot read a newer manifest fetches the whole estate, which may be a megabyte, each time. */
        private val LONGEST_MANIFEST_DELAY = 1.minutes
        private val TIMEOUT = 2.seconds
    }
}
