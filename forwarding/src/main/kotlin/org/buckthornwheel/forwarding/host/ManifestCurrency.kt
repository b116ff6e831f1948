package org.buckthornwheel.forwarding.host

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.decision.account.ClockReading
import org.buckthornwheel.decision.account.RevocationGuard
import org.buckthornwheel.forwarding.membership.ManifestInForce
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/**
 * Whether this host can show that its manifest is current, so that no key is accepted long after it was removed.
 *
 * @param bound time within which a removed key must stop working; null if the deployment states none.
 */
public class ManifestCurrency internal constructor(
    bound: Duration?,
    private val routingState: RoutingState,
    private val clock: MonotonicClock,
    private val unixMilliseconds: () -> Long = System::currentTimeMillis,
) : ManifestInForce {
    private val guard = bound?.let(::RevocationGuard)
    private val newestKnown = AtomicLong()

    /** Time within which a removed key must stop working, if the manifest in force has keys; null otherwise. */
    public val bound: Duration?
        get() = guard?.bound?.takeIf { routingState.manifest?.requiresAccounts == true }

    override val version: Long get() = routingState.manifest?.version?.value ?: 0

    override val refusesAccounts: Boolean
        get() = bound != null && (newestKnown.get() > version || guard?.isOpen(reading()) == false)

    /** Whether a host that reads the store only for this has to read it again by now. */
    public val isReadDue: Boolean
        get() {
            val age = guard?.takeIf { bound != null }?.age(reading()) ?: return false
            return age >= guard.bound * READ_SHARE_OF_BOUND
        }

    override fun recordVersion(version: Long) {
        newestKnown.accumulateAndGet(version, ::maxOf)
    }

    /** Records that a read of the store is sent now. */
    public fun readSent(): StoreRead = StoreRead(guard?.readSent(reading()))

    /** A read of the store that was sent. */
    public inner class StoreRead internal constructor(private val read: RevocationGuard.Read?) {
        /** Records that the read was answered and that what it brought is in force. */
        public fun applied() {
            read?.let { guard?.readApplied(it) }
        }
    }

    private fun reading() = ClockReading(clock.now(), unixMilliseconds())

    private companion object {
        /** Leaves time for a read that fails and another one before the guard closes. */
        const val READ_SHARE_OF_BOUND = 0.5
    }
}
