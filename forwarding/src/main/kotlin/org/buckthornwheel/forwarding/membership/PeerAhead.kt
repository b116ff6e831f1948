package org.buckthornwheel.forwarding.membership

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.entry.EntryHostProfile
import kotlin.time.Duration

/**
 * The nearest host that has a higher value than this one, whose own is [known], and since when there is one.
 *
 * Not thread-safe.
 */
internal class PeerAhead<T : Comparable<T>>(
    private val known: () -> T,
    private val distance: (EntryHostProfile) -> Int,
) {
    private class Ahead<T>(val peer: EntryHostProfile, val value: T, val since: MonotonicInstant)

    private var ahead: Ahead<T>? = null

    /** Records that [peer] has [value]. */
    fun record(peer: EntryHostProfile, value: T, now: MonotonicInstant) {
        val own = known()
        val present = ahead?.takeIf { it.value > own }
        ahead = when {
            value <= own -> present
            present == null -> Ahead(peer, value, now)
            distance(peer) <= distance(present.peer) -> Ahead(peer, present.value, present.since)
            else -> present
        }
    }

    /** The host that is ahead if one has been for [delay]. */
    fun behindFor(delay: Duration, now: MonotonicInstant): EntryHostProfile? =
        ahead?.takeIf { it.value > known() && now - it.since >= delay }?.peer

    /** Counts the time anew with the next record. */
    fun forget() {
        ahead = null
    }
}
