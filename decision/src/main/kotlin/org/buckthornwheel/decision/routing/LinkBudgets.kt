package org.buckthornwheel.decision.routing

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Limits the bytes that this host sends to each other region, with one token bucket and one lock per link. */
internal class LinkBudgets {
    private val links = ConcurrentHashMap<RegionName, Link>()

    /** Consumes [bytes] of the budget for [region], one second of [bytesPerSecond]; false if not enough is left. */
    fun tryConsume(region: RegionName, bytes: Int, bytesPerSecond: Double, now: MonotonicInstant): Boolean =
        link(region, bytesPerSecond, now).consume(bytes, bytesPerSecond, now, mayOverdraw = false)

    /** Consumes [bytes] for [region] even if this exceeds the budget, for requests that have to be sent there. */
    fun consume(region: RegionName, bytes: Int, bytesPerSecond: Double, now: MonotonicInstant) {
        link(region, bytesPerSecond, now).consume(bytes, bytesPerSecond, now, mayOverdraw = true)
    }

    private fun link(region: RegionName, bytesPerSecond: Double, now: MonotonicInstant): Link =
        links.computeIfAbsent(region) { Link(bytesPerSecond, now) }

    private class Link(private var available: Double, private var refilledAt: MonotonicInstant) {
        private val lock = ReentrantLock()

        fun consume(bytes: Int, bytesPerSecond: Double, now: MonotonicInstant, mayOverdraw: Boolean): Boolean =
            lock.withLock {
                val elapsed = (now - refilledAt).inWholeNanoseconds.coerceAtLeast(0) / NANOSECONDS_PER_SECOND
                available = minOf(bytesPerSecond, available + elapsed * bytesPerSecond)
                refilledAt = maxOf(now, refilledAt)
                if (available < bytes && !mayOverdraw) return false
                available = maxOf(available - bytes, -bytesPerSecond)
                true
            }
    }

    private companion object {
        const val NANOSECONDS_PER_SECOND = 1e9
    }
}
