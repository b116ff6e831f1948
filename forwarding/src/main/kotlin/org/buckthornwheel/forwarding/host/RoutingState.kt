/*
 * The estate state that a host routes by: the manifest and the zones that operators have closed.
 */

package org.buckthornwheel.forwarding.host

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.account.AccountDirectory
import org.buckthornwheel.decision.manifest.Manifest
import java.security.SecureRandom

/** A manifest, the time at which it was received, and its accounts by their keys. */
internal class CurrentManifest(val manifest: Manifest, val at: MonotonicInstant, val accounts: AccountDirectory)

/** The newest manifest, with the time at which it was received, and the closed zones. */
public class RoutingState(private val clock: MonotonicClock) {
    private val lock = Any()

    @Volatile
    private var newest: CurrentManifest? = null

    @Volatile
    private var closed: Set<ZoneName> = emptySet()

    /** Time at which the first manifest was received; null before that. */
    @Volatile
    public var knownSince: MonotonicInstant? = null
        private set

    /** Secret of the index of account keys; read only if there are any, since that takes time at the start. */
    private val secret by lazy { ByteArray(SECRET_BYTES).also(SecureRandom()::nextBytes) }

    /** Whether this host awaits what other hosts have in force; no request waits for that. */
    @Volatile
    public var awaitsHosts: Boolean = false

    /** The manifest in force with what was derived from it; null until one was received. */
    internal val current: CurrentManifest? get() = newest

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
        newest = CurrentManifest(manifest, now, directory(manifest, present))
        if (knownSince == null) knownSince = now
        true
    }

    /** The directory of the accounts of [manifest]; building one for many keys takes milliseconds. */
    private fun directory(manifest: Manifest, present: CurrentManifest?): AccountDirectory = when {
        manifest.accounts.isEmpty() -> AccountDirectory.EMPTY
        manifest.accounts == present?.manifest?.accounts -> present.accounts
        else -> AccountDirectory(manifest.accounts, secret)
    }

    /** Closes or reopens [zone]. */
    public fun setClosed(zone: ZoneName, isClosed: Boolean): Unit = synchronized(lock) {
        closed = if (isClosed) closed + zone else closed - zone
    }

    private companion object {
        const val SECRET_BYTES = 32
    }
}
