package org.buckthornwheel.decision.orders

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.estate.TargetItem
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** An order that has reached the target. */
internal data class Arrival(val at: MonotonicInstant, val fencing: FencingNumber)

/**
 * A seeded schedule in which three hosts compete for one lease, renew it, pause and send orders.
 *
 * A host may also be paused between its check of the permission and the sending of the order.
 */
internal class LeaseSchedule(
    private val limits: OrderLimits,
    private val target: TargetItem,
    private val random: Random,
) {
    private val leases = List(HOSTS) { OrderLease(limits) }
    private val pausedUntil = MutableList(HOSTS) { MonotonicInstant(0) }
    private var holder: Int? = null
    private var expiresAt = MonotonicInstant(0)
    private var fencing = 0L
    private var now = MonotonicInstant(0)
    private val arrivals = ArrayList<Arrival>()

    fun run(): List<Arrival> {
        repeat(STEPS) { step() }
        return arrivals.sortedBy { it.at }
    }

    private fun step() {
        now += random.nextLong(1, 1_500).milliseconds
        if (now >= expiresAt) holder = null
        val host = random.nextInt(HOSTS)
        if (now < pausedUntil[host]) return
        when (random.nextInt(8)) {
            0 -> pausedUntil[host] = now + random.nextLong(1, 30_000).milliseconds
            1, 2 -> acquire(host)
            3, 4 -> renew(host)
            else -> send(host)
        }
    }

    private fun acquire(host: Int) {
        if (holder != null) return
        val requestedAt = now
        now += random.nextLong(0, 500).milliseconds
        holder = host
        expiresAt = now + limits.leaseTime
        fencing += 1
        leases[host].acquired(FencingNumber(fencing), requestedAt, now)
    }

    private fun renew(host: Int) {
        if (holder != host) return leases[host].lost()
        val requestedAt = now
        expiresAt = now + limits.leaseTime
        leases[host].renewed(requestedAt)
    }

    private fun send(host: Int) {
        val permission = leases[host].permission(target, now) as? OrderPermission.Granted ?: return
        val pauseBeforeSending = random.nextLong(0, limits.leaseTime.inWholeMilliseconds)
        val transmission = random.nextLong(0, limits.maximumOrderDuration.inWholeMilliseconds)
        arrivals += Arrival(now + (pauseBeforeSending + transmission).milliseconds, permission.fencing)
    }

    private companion object {
        const val HOSTS = 3
        const val STEPS = 200
    }
}
