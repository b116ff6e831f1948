package org.buckthornwheel.decision.admission

import org.buckthornwheel.api.MonotonicInstant
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Usage and token bucket of one account at this host, under one lock. */
internal class AccountShard {
    private val lock = ReentrantLock()
    private var inFlight = 0
    private var tokens = 0.0
    private var refilledAt: MonotonicInstant? = null
    private val rate = RateCounter()
    private var isRetired = false

    /** Decides on one more request; null if this shard was retired and the caller has to use a new one. */
    fun admit(limits: AccountLimits, remote: AccountUsage, hostShare: Int, now: MonotonicInstant): AdmissionVerdict? =
        lock.withLock {
            if (isRetired) return null
            val ownRate = ownRate(limits, remote, now)
            refill(ownRate, now)
            when {
                inFlight >= (limits.requestsInFlight - remote.requestsInFlight).coerceAtLeast(1) ->
                    AdmissionVerdict.RateLimited(RETRY_AFTER_IN_FLIGHT_LIMIT)

                inFlight >= hostShare -> AdmissionVerdict.Overloaded(RETRY_AFTER_IN_FLIGHT_LIMIT)

                tokens < 1.0 -> AdmissionVerdict.RateLimited(((1.0 - tokens) / ownRate).seconds)

                else -> admitOne(now)
            }
        }

    /** Records the end of a request; true if it was the last one in flight. */
    fun finished(): Boolean = lock.withLock {
        inFlight -= 1
        inFlight == 0
    }

    fun usage(now: MonotonicInstant): AccountUsage = lock.withLock { AccountUsage(rate.perSecond(now), inFlight) }

    /** Retires the shard if the account has been idle for [IDLE_AFTER]; true if it is retired and may be removed. */
    fun retireIfIdle(now: MonotonicInstant): Boolean = lock.withLock {
        val isIdle = inFlight == 0 && (refilledAt?.let { now - it > IDLE_AFTER } ?: false)
        isRetired = isRetired || isIdle
        isRetired
    }

    private fun admitOne(now: MonotonicInstant): AdmissionVerdict {
        tokens -= 1.0
        inFlight += 1
        rate.add(now)
        return AdmissionVerdict.Admitted(isFirst = inFlight == 1)
    }

    /**
     * The part of the account's rate limit that this host may use: the rate that the other hosts leave, but at least
     * this host's share of the total usage. [NEWCOMER_SHARE] is added to its usage, so that a host without any gets a
     * share too.
     */
    private fun ownRate(limits: AccountLimits, remote: AccountUsage, now: MonotonicInstant): Double {
        val total = limits.requestsPerSecond
        val own = rate.perSecond(now) + total * NEWCOMER_SHARE
        val share = total * own / (own + remote.requestsPerSecond)
        return maxOf(total - remote.requestsPerSecond, share)
    }

    private fun refill(ownRate: Double, now: MonotonicInstant) {
        val burst = ownRate.coerceAtLeast(1.0)
        val last = refilledAt
        refilledAt = now
        tokens = if (last == null) {
            burst
        } else {
            minOf(burst, tokens + ownRate * (now - last).inWholeNanoseconds.coerceAtLeast(0) / NANOSECONDS_PER_SECOND)
        }
    }

    private companion object {
        const val NEWCOMER_SHARE = 0.05
        const val NANOSECONDS_PER_SECOND = 1e9
        val RETRY_AFTER_IN_FLIGHT_LIMIT: Duration = 500.milliseconds
        val IDLE_AFTER: Duration = 60.seconds
    }
}

/** Counts events in windows of one second; the rate is the larger of the current and the previous window. */
private class RateCounter {
    private var window = Long.MIN_VALUE
    private var current = 0
    private var previous = 0

    fun add(now: MonotonicInstant) {
        advance(now)
        current += 1
    }

    fun perSecond(now: MonotonicInstant): Double {
        advance(now)
        return maxOf(previous, current).toDouble()
    }

    private fun advance(now: MonotonicInstant) {
        val currentWindow = Math.floorDiv(now.nanoseconds, NANOSECONDS_PER_WINDOW)
        if (currentWindow == window) return
        previous = if (currentWindow == window + 1) current else 0
        current = 0
        window = currentWindow
    }

    private companion object {
        const val NANOSECONDS_PER_WINDOW = 1_000_000_000L
    }
}
