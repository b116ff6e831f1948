package org.buckthornwheel.decision.admission

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableMap
import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.MonotonicInstant
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.DoubleAdder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides whether this host takes a request at all.
 *
 * Each account has a rate and a number of requests in flight over all hosts together, of which this host takes its
 * part by what is known of the [elsewhere]. When the host is nearly full each account keeps to its weighted share of
 * it, and long requests never take the places that are kept for short ones. The state of each account is under a
 * lock of its own.
 */
public class Admission(private val limits: AdmissionLimits, private val elsewhere: RemoteUsage) {
    private val accounts = ConcurrentHashMap<AccountName, AccountShard>()
    private val inFlight = AtomicInteger()
    private val longInFlight = AtomicInteger()
    private val activeWeight = DoubleAdder()

    /** The verdict on [request] at [now]; every [AdmissionVerdict.Admitted] is paired with one call of [finished]. */
    public fun admit(request: AdmissionRequest, now: MonotonicInstant): AdmissionVerdict {
        refusalByHost(request)?.let { return it }
        val verdict = verdictOfAccount(request, now)
        if (verdict !is AdmissionVerdict.Admitted) return verdict
        inFlight.incrementAndGet()
        if (request.isLong) longInFlight.incrementAndGet()
        if (verdict.isFirst) activeWeight.add(request.limits.weight)
        return verdict
    }

    /** Counts the end of an admitted [request]. */
    public fun finished(request: AdmissionRequest) {
        inFlight.decrementAndGet()
        if (request.isLong) longInFlight.decrementAndGet()
        if (shard(request.account).finished()) activeWeight.add(-request.limits.weight)
    }

    /** What accounts use here at [now]; those that use nothing are left out and forgotten. */
    public fun usage(now: MonotonicInstant): ImmutableMap<AccountName, AccountUsage> {
        accounts.entries.removeIf { it.value.retireIfIdle(now) }
        return accounts.mapValues { it.value.usage(now) }.toImmutableMap()
    }

    /** A shard that was retired in this moment is about to leave the map; the account then gets a new one. */
    private fun verdictOfAccount(request: AdmissionRequest, now: MonotonicInstant): AdmissionVerdict {
        val used = elsewhere.of(request.account)
        while (true) {
            shard(request.account).admit(request.limits, used, share(request), now)?.let { return it }
            Thread.onSpinWait()
        }
    }

    private fun refusalByHost(request: AdmissionRequest): AdmissionVerdict? {
        if (inFlight.get() >= limits.requestsInFlight) return AdmissionVerdict.Overloaded(RETRY_WHEN_FULL)
        val longLimit = limits.requestsInFlight * limits.longShare
        val isLongFull = request.isLong && longInFlight.get() >= longLimit
        return if (isLongFull) AdmissionVerdict.Overloaded(RETRY_WHEN_FULL) else null
    }

    /** The requests that the account may have here: its weighted share once the host is contended. */
    private fun share(request: AdmissionRequest): Int {
        if (inFlight.get() < limits.requestsInFlight * limits.contendedShare) return limits.requestsInFlight
        val weights = activeWeight.sum().coerceAtLeast(request.limits.weight)
        return (limits.requestsInFlight * request.limits.weight / weights).toInt().coerceAtLeast(1)
    }

    private fun shard(account: AccountName): AccountShard = accounts.computeIfAbsent(account) { AccountShard() }

    private companion object {
        val RETRY_WHEN_FULL: Duration = 1.seconds
    }
}

/**
 * Limits of one host.
 *
 * @property requestsInFlight requests at once.
 * @property contendedShare part of them from which on each account keeps to its weighted share.
 * @property longShare part of them that long requests may take together.
 */
public data class AdmissionLimits(
    public val requestsInFlight: Int,
    public val contendedShare: Double = 0.75,
    public val longShare: Double = 0.8,
)

/** Limits of one account over all hosts: requests a second, requests at once, and its weight against others. */
public data class AccountLimits(
    public val requestsPerSecond: Double,
    public val requestsInFlight: Int,
    public val weight: Double,
)

/** A request that asks to be admitted; [isLong] if its answer may be many tokens. */
public data class AdmissionRequest(
    public val account: AccountName,
    public val limits: AccountLimits,
    public val isLong: Boolean,
)

/** What admission says. */
public sealed interface AdmissionVerdict {
    /** The request may go on; [isFirst] if it is the account's only one here. */
    public data class Admitted(internal val isFirst: Boolean) : AdmissionVerdict

    /** The account has used up its rate or its requests in flight. */
    public data class RateLimited(public val retryAfter: Duration) : AdmissionVerdict

    /** The host is full, or the account's share of it is. */
    public data class Overloaded(public val retryAfter: Duration) : AdmissionVerdict
}
