package org.buckthornwheel.daemon.orders

import kotlinx.coroutines.delay
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.daemon.observability.Part
import org.buckthornwheel.decision.orders.FencingNumber
import org.buckthornwheel.decision.orders.OrderLease
import org.buckthornwheel.decision.orders.OrderLimits
import org.buckthornwheel.platform.ByteArrayValue
import org.buckthornwheel.platform.KeyValueStore
import org.buckthornwheel.platform.LeaseId
import org.buckthornwheel.platform.WriteResult

/** A host that competes for its zone's order lease. */
internal data class OrderCandidate(val host: HostName, val zone: ZoneName, val incarnation: Incarnation)

/**
 * Competes for the local zone's order lease in the platform's key-value service and renews it while it is held.
 *
 * The fencing number is the version of the holder's key in the service: it increases with every new holder.
 */
internal class OrderLeaseKeeper(
    private val store: KeyValueStore,
    private val lease: OrderLease,
    private val limits: OrderLimits,
    private val candidate: OrderCandidate,
    private val mayCompete: () -> Boolean,
    private val clock: MonotonicClock,
) {
    private val key = "/buckthornwheel/order-senders/${candidate.zone}"

    /** Runs until it is cancelled. */
    suspend fun run() {
        while (true) {
            if (mayCompete()) compete()
            delay(limits.leaseTime / ATTEMPTS_PER_LEASE)
        }
    }

    private suspend fun compete() {
        val requestedAt = clock.now()
        val granted = store.grantLease(limits.leaseTime).getOrNull() ?: return
        val value = ByteArrayValue("${candidate.host}/${candidate.incarnation}".encodeToByteArray())
        val result = store.createIfAbsent(key, value, granted).getOrNull()
        if (result !is WriteResult.Written) {
            store.revokeLease(granted)
            return
        }
        lease.acquired(FencingNumber(result.version), requestedAt, clock.now())
        Part.ORDERS.info("Acquired the order lease of zone ${candidate.zone} with fencing number ${result.version}.")
        keep(granted)
    }

    private suspend fun keep(granted: LeaseId) {
        while (lease.isHeld(clock.now()) && mayCompete()) {
            delay(limits.leaseTime / RENEWALS_PER_LEASE)
            val requestedAt = clock.now()
            val renewed = store.keepAlive(granted).getOrNull()
            if (renewed == true) lease.renewed(requestedAt)
            if (renewed == false) break
        }
        lease.lost()
        store.revokeLease(granted)
        Part.ORDERS.info("No longer holds the order lease of zone ${candidate.zone}.")
    }

    private companion object {
        const val ATTEMPTS_PER_LEASE = 2
        const val RENEWALS_PER_LEASE = 4
    }
}
