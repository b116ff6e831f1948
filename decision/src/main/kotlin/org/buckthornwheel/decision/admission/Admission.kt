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
 * Admission control of this host.
 *
 * Each account has a limit on its request rate and on its requests in flight, over all hosts together. This host
 * derives its own part from the [remoteUsage] of the account at the other hosts. When the host is nearly full, each
 * account is limited to its weighted share, and long requests cannot use the slots that are reserved for short ones.
 * The state of each account has its own lock.
 */
public class Admission(private val limits: AdmissionLimits, private val remoteUsage: RemoteUsage) {
    private val accounts = ConcurrentHashMap<AccountName, AccountShard>()
    private val inFlight = AtomicInteger()
    private val longInFlight = AtomicInteger()
    private val activeWeight = DoubleAdder()

    /** Decides on [request] at [now]; each [AdmissionVerdict.Admitted] has to be followed by one call of [finished]. */
    public fun admit(request: AdmissionRequest, now: MonotonicInstant): AdmissionVerdict {
        refusalByHost(request)?.let { return it }
        val verdict = verdictOfAccount(request, now)
        if (verdict !is AdmissionVerdict.Admitted) return verdict
        inFlight.incrementAndGet()
        if (request.isLong) longInFlight.incrementAndGet()
        if (verdict.isFirst) activeWeight.add(request.limits.weight)
        return verdict
    }

    /** Records the end of an admitted [request]. */
    public fun finished(request: AdmissionRequest) {
        inFlight.decrementAndGet()
        if (request.isLong) longInFlight.decrementAndGet()
        if (shard(request.account).finished()) activeWeight.add(-request.limits.weight)
    }

    /** The usage of the accounts at this host at [now]; idle accounts are removed first. */
    public fun usage(now: MonotonicInstant): ImmutableMap<AccountName, AccountUsage> {
        accounts.entries.removeIf { it.value.retireIfIdle(now) }
        return accounts.mapValues { it.value.usage(now) }.toImmutableMap()
    }

    /** Retries while the shard is retired: it is about to be removed from the map, and then a new one is created. */
    private fun verdictOfAccount(request: AdmissionRequest, now: MonotonicInstant): AdmissionVerdict {
        val used = remoteUsage.of(request.account)
        while (true) {
            shard(request.account).admit(request.limits, used, share(request), now)?.let { return it }
            Thread.onSpinWait()
        }
    }

    private fun refusalByHost(request: AdmissionRequest): AdmissionVerdict? {
        if (inFlight.get() >= limits.requestsInFlight) return AdmissionVerdict.Overloaded(RETRY_AFTER_FULL)
        val longLimit = limits.requestsInFlight * limits.longShare
        val isLongFull = request.isLong && longInFlight.get() >= longLimit
        return if (isLongFull) AdmissionVerdict.Overloaded(RETRY_AFTER_FULL) else null
    }

    /** Requests that the account may have in flight here: its weighted share if the host is contended. */
    private fun share(request: AdmissionRequest): Int {
        if (inFlight.get() < limits.requestsInFlight * limits.contendedShare) return limits.requestsInFlight
        val weights = activeWeight.sum().coerceAtLeast(request.limits.weight)
        return (limits.requestsInFlight * request.limits.weight / weights).toInt().coerceAtLeast(1)
    }

    private fun shard(account: AccountName): AccountShard = accounts.computeIfAbsent(account) { AccountShard() }

    private companion object {
        val RETRY_AFTER_FULL: Duration = 1.seconds
    }
}

/**
 * Limits of one host.
 *
 * @property requestsInFlight maximum number of requests in flight.
 * @property contendedShare fraction of [requestsInFlight] from which on each account is limited to its weighted share.
 * @property longShare fraction of [requestsInFlight] that long requests may use together.
 */
public data class AdmissionLimits(
    public val requestsInFlight: Int,
    public val contendedShare: Double = 0.75,
    public val longShare: Double = 0.8,
)

/** Limits of one account over all hosts, and its weight in relation to other accounts. */
public data class AccountLimits(
    public val requestsPerSecond: Double,
    public val requestsInFlight: Int,
    public val weight: Double,
)

/** A request for admission; it is [isLong] if its answer may have many tokens. */
public data class AdmissionRequest(
    public val account: AccountName,
    public val limits: AccountLimits,
    public val isLong: Boolean,
)

/** Decision of the admission control. */
public sealed interface AdmissionVerdict {
    /** The request is admitted; [isFirst] if it is the only one of the account in flight here. */
    public data class Admitted(internal val isFirst: Boolean) : AdmissionVerdict

    /** The account has reached its limit of the request rate or of requests in flight. */
    public data class RateLimited(public val retryAfter: Duration) : AdmissionVerdict

    /** The host, or the account's share of it, is fully used. */
    public data class Overloaded(public val retryAfter: Duration) : AdmissionVerdict
}
