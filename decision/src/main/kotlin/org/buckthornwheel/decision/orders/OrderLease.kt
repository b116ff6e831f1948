package org.buckthornwheel.decision.orders

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.estate.TargetItem
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/**
 * The lease that permits this host to send orders to the targets of its zone.
 *
 * The platform grants the lease. Its expiry is tracked on this host's monotonic clock, counted from before each
 * request for renewal, so that it expires no later than on the platform. A host that was paused therefore sees its
 * lease as expired when it resumes. Targets that do not check the fencing number get orders only when the last order
 * of the former holder must have ended.
 */
public class OrderLease(private val limits: OrderLimits) {
    private val lock = ReentrantLock()
    private var held: HeldLease? = null

    /** Records that the platform granted the lease with [fencing], requested at [requestedAt], answered at [now]. */
    public fun acquired(fencing: FencingNumber, requestedAt: MonotonicInstant, now: MonotonicInstant): Unit =
        lock.withLock {
            held =
                HeldLease(fencing, requestedAt + limits.leaseTime, now + limits.leaseTime + limits.maximumOrderDuration)
        }

    /** Records that the platform renewed the lease after a request at [requestedAt]. */
    public fun renewed(requestedAt: MonotonicInstant): Unit = lock.withLock {
        held = held?.copy(expiresAt = requestedAt + limits.leaseTime)
    }

    /** Records that the lease has expired on the platform. */
    public fun lost(): Unit = lock.withLock { held = null }

    /** Whether the lease is held at [now]. */
    public fun isHeld(now: MonotonicInstant): Boolean = lock.withLock { unexpired(now) != null }

    /** Whether an order to [target] may be sent at [now]; must be checked right before each order is sent. */
    public fun permission(target: TargetItem, now: MonotonicInstant): OrderPermission = lock.withLock {
        val lease = unexpired(now) ?: return OrderPermission.NoLease
        if (lease.expiresAt - now < limits.maximumOrderDuration) return OrderPermission.NoLease
        if (!target.checksFencing && now < lease.formerHolderEndsAt) return OrderPermission.FormerHolder
        OrderPermission.Granted(lease.fencing)
    }

    private fun unexpired(now: MonotonicInstant): HeldLease? = held?.takeIf { now < it.expiresAt }

    private data class HeldLease(
        val fencing: FencingNumber,
        val expiresAt: MonotonicInstant,
        val formerHolderEndsAt: MonotonicInstant,
    )
}

/** Whether an order may be sent. */
public sealed interface OrderPermission {
    /** The order may be sent, with [fencing]. */
    public data class Granted(public val fencing: FencingNumber) : OrderPermission

    /** The lease is not held, or may expire before the order ends. */
    public data object NoLease : OrderPermission

    /** An order of the former holder may still be in flight to this target, which does not check the fencing number. */
    public data object FormerHolder : OrderPermission
}

/**
 * Durations of the order lease.
 *
 * @property leaseTime how long the lease lasts after each renewal.
 * @property maximumOrderDuration how long an order may be in flight before it is abandoned.
 */
public data class OrderLimits(public val leaseTime: Duration, public val maximumOrderDuration: Duration)
