package org.buckthornwheel.decision.orders

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.estate.TargetItem
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/**
 * Whether this host may send orders to the targets of its zone.
 *
 * The platform grants the lease; this aggregate keeps its time on the host's own monotonic clock, counted from
 * before each renewal was asked for, so that it never outlasts the platform's. A host that was paused finds its
 * lease over when it wakes. Targets that do not check the fencing number get orders only after the former holder's
 * last order must have ended.
 */
public class OrderLease(private val limits: OrderLimits) {
    private val lock = ReentrantLock()
    private var held: HeldLease? = null

    /** The platform has granted the lease with [fencing]; it was asked at [askedAt] and answered at [now]. */
    public fun acquired(fencing: FencingNumber, askedAt: MonotonicInstant, now: MonotonicInstant): Unit =
        lock.withLock {
            held = HeldLease(fencing, askedAt + limits.leaseTime, now + limits.leaseTime + limits.maximumOrderDuration)
        }

    /** The platform has renewed the lease, as it was asked at [askedAt]. */
    public fun renewed(askedAt: MonotonicInstant): Unit = lock.withLock {
        held = held?.copy(endsAt = askedAt + limits.leaseTime)
    }

    /** The platform says that the lease has lapsed. */
    public fun lost(): Unit = lock.withLock { held = null }

    /** Whether the lease is held at [now]. */
    public fun isHeld(now: MonotonicInstant): Boolean = lock.withLock { remaining(now) != null }

    /** Whether an order to [target] may be sent at [now]; to be asked again right before each order is sent. */
    public fun permission(target: TargetItem, now: MonotonicInstant): OrderPermission = lock.withLock {
        val lease = remaining(now) ?: return OrderPermission.NoLease
        if (lease.endsAt - now < limits.maximumOrderDuration) return OrderPermission.NoLease
        if (!target.checksFencing && now < lease.uncheckedFrom) return OrderPermission.FormerHolder
        OrderPermission.Granted(lease.fencing)
    }

    private fun remaining(now: MonotonicInstant): HeldLease? = held?.takeIf { now < it.endsAt }

    private data class HeldLease(
        val fencing: FencingNumber,
        val endsAt: MonotonicInstant,
        val uncheckedFrom: MonotonicInstant,
    )
}

/** Answer to the question whether an order may be sent. */
public sealed interface OrderPermission {
    /** It may, with [fencing]. */
    public data class Granted(public val fencing: FencingNumber) : OrderPermission

    /** It may not: the lease is not held, or ends before the order would. */
    public data object NoLease : OrderPermission

    /** Not yet: an order of the former holder may still be in flight to a target that does not check. */
    public data object FormerHolder : OrderPermission
}

/**
 * Times of the order lease.
 *
 * @property leaseTime how long the lease lasts after it was renewed.
 * @property longestOrder the longest time that an order is in flight before it is given up.
 */
public data class OrderLimits(public val leaseTime: Duration, public val maximumOrderDuration: Duration)
