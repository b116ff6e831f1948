/*
 * What a host believes of the estate: the manifest and the zones that operators have closed.
 */

package org.buckthornwheel.forwarding.host

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.manifest.Manifest

/** The newest manifest and the closed zones, each with the time at which it was learned. */
public class RoutingState(private val clock: MonotonicClock) {
    private val lock = Any()

    @Volatile
    private var newest: Learned? = null

    @Volatile
    private var closed: Set<ZoneName> = emptySet()

    private class Learned(val manifest: Manifest, val at: MonotonicInstant)

    /** The manifest in force; null until one was learned. */
    public val manifest: Manifest? get() = newest?.manifest

    /** Zones whose replicas get no requests. */
    public val closedZones: Set<ZoneName> get() = closed

    /** When the manifest in force was learned. */
    public val manifestUpdatedAt: MonotonicInstant? get() = newest?.at

    /** Puts [manifest] in force unless a later one is; returns whether it did. */
    public fun updateManifest(manifest: Manifest): Boolean = synchronized(lock) {
        val present = newest
        if (present != null && present.manifest.version >= manifest.version) return false
        newest = Learned(manifest, clock.now())
        true
    }

    /** Closes [zone], or opens it again. */
    public fun setClosed(zone: ZoneName, isClosed: Boolean): Unit = synchronized(lock) {
        closed = if (isClosed) closed + zone else closed - zone
    }
}
