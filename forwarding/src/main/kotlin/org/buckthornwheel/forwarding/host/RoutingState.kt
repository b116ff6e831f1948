/*
 * The estate state that a host routes by: the manifest and the zones that operators have closed.
 */

package org.buckthornwheel.forwarding.host

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.manifest.Manifest

/** The newest manifest, with the time at which it was received, and the closed zones. */
public class RoutingState(private val clock: MonotonicClock) {
    private val lock = Any()

    @Volatile
    private var newest: ReceivedManifest? = null

    @Volatile
    private var closed: Set<ZoneName> = emptySet()

    /** Time at which the first manifest was received; null before that. */
    @Volatile
    public var knownSince: MonotonicInstant? = null
        private set

    private class ReceivedManifest(val manifest: Manifest, val at: MonotonicInstant)

    /** The manifest in force; null until one was received. */
    public val manifest: Manifest? get() = newest?.manifest

    /** Zones whose replicas must not receive requests. */
    public val closedZones: Set<ZoneName> get() = closed

    /** Time at which the manifest in force was received; null before that. */
    public val manifestUpdatedAt: MonotonicInstant? get() = newest?.at

    /** Replaces the manifest if [manifest] has a higher version; returns whether it did. */
    public fun updateManifest(manifest: Manifest): Boolean = synchronized(lock) {
        val present = newest
        if (present != null && present.manifest.version >= manifest.version) return false
        val now = clock.now()
        newest = ReceivedManifest(manifest, now)
        if (knownSince == null) knownSince = now
        true
    }

    /** Closes or reopens [zone]. */
    public fun setClosed(zone: ZoneName, isClosed: Boolean): Unit = synchronized(lock) {
        closed = if (isClosed) closed + zone else closed - zone
    }
}
