package org.buckthornwheel.decision.orders

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.estate.TargetItem
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** An order as it reached the target. */
internal data class Arrival(val at: MonotonicInstant, val fencing: FencingNumber)

/**
 * A seeded schedule of three hosts that compete for one lease, renew it, pause and send.
 *
 * A host may also be paused between asking for the permission and sending.
 */
internal class LeaseSchedule(
    private val limits: OrderLimits,
    private val target: TargetItem,
    private val random: Random,
) {
    private val leases = List(HOSTS) { OrderLease(limits) }
    private val pausedUntil = MutableList(HOSTS) { MonotonicInstant(0) }
    private var holder: Int? = null
    private var lapsesAt = MonotonicInstant(0)
    private var fencing = 0L
    private var now = MonotonicInstant(0)
    private val arrivals = ArrayList<Arrival>()

    fun run(): List<Arrival> {
        repeat(STEPS) { step() }
        return arrivals.sortedBy { it.at }
    }

    private fun step() {
        now += random.nextLong(1, 1_500).milliseconds
        if (now >= lapsesAt) holder = null
        val host = random.nextInt(HOSTS)
        if (now < pausedUntil[host]) return
        when (random.nextInt(8)) {
            0 -> pausedUntil[host] = now + random.nextLong(1, 30_000).milliseconds
            1, 2 -> compete(host)
            3, 4 -> renew(host)
            else -> send(host)
        }
    }

    private fun compete(host: Int) {
        if (holder != null) return
        val asked = now
        now += random.nextLong(0, 500).milliseconds
        holder = host
        lapsesAt = now + limits.leaseTime
        fencing += 1
        leases[host].acquired(FencingNumber(fencing), asked, now)
    }

    private fun renew(host: Int) {
        if (holder != host) return leases[host].lost()
        val asked = now
        lapsesAt = now + limits.leaseTime
        leases[host].renewed(asked)
    }

    private fun send(host: Int) {
        val permission = leases[host].permission(target, now) as? OrderPermission.Granted ?: return
        val pauseBeforeSending = random.nextLong(0, limits.leaseTime.inWholeMilliseconds)
        val travel = random.nextLong(0, limits.maximumOrderDuration.inWholeMilliseconds)
        arrivals += Arrival(now + (pauseBeforeSending + travel).milliseconds, permission.fencing)
    }

    private companion object {
        const val HOSTS = 3
        const val STEPS = 200
    }
}
