package org.buckthornwheel.decision.account.share

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.account.QuotaVerdict
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * The bucket of one limit over all hosts, as this host knows it; [key] is its name in reports.
 *
 * What other hosts used is taken from the level when they tell it. What this host used and the others may not know yet
 * may be at most its share of the bucket, so that all hosts together find the bucket empty at the same time.
 */
internal class SharedBucket(private val key: Long, private val startedAt: MonotonicInstant, silentPart: Double) {
    private val own = OwnUse()
    private val remote = RemoteUses()
    private var limit: SharedLimit? = null
    private var level = 0.0
    private var refilledAt = startedAt
    private var endedRoundAt = startedAt
    private var share = 0.0
    private var threshold = 1.0
    private var largest = 0.0
    private val recentLevels = ArrayDeque<Double>()

    init {
        remote.begin(silentPart)
    }

    /** Takes the units of [claim] if they are within this host's share, whose bounds [view] tells. */
    @Synchronized
    fun admit(
        limit: SharedLimit,
        claim: SharedClaim,
        view: SharersView,
        draw: Double,
        now: MonotonicInstant,
    ): QuotaVerdict {
        val cost = claim.cost
        refill(limit, now)
        own.recordDemand(claim.demand, now)
        val part = maxOf(share, view.leastShare).coerceAtMost(view.mostShare)
        val unknown = maxOf(0.0, own.unknown)
        val allowed = part * (level + unknown)
        val isWithinShare = allowed > 0 && allowed >= unknown + threshold * cost
        largest = maxOf(largest * LARGEST_MEMORY, cost)
        val isOneOfFew = view.mostShare == 1.0 && unknown + cost <= largest * view.singleRequests && level >= cost
        if (!isWithinShare && !isOneOfFew) {
            val missingInShare = (unknown + threshold * cost) / maxOf(part, LEAST_PART) - level - unknown
            return QuotaVerdict.Exceeded(retryAfter(minOf(missingInShare, cost - level), limit, draw))
        }
        level -= cost
        own.add(cost)
        return QuotaVerdict.Admitted
    }

    /** Returns [cost] units. */
    @Synchronized
    fun giveBack(cost: Double) {
        val present = limit ?: return
        level = minOf(capacity(present), level + cost)
        own.add(-cost)
    }

    /** Ends a round of reports: determines this host's share for the next one. */
    @Synchronized
    fun endRound(hosts: HeardHosts, draw: Double, now: MonotonicInstant) {
        val length = now - endedRoundAt
        endedRoundAt = now
        threshold = draw
        own.endRound(length, now)
        val present = limit ?: return
        refill(present, now)
        val refilled = present.ratePerSecond * length.toDouble(DurationUnit.SECONDS)
        recentLevels.addLast(level)
        if (recentLevels.size > ROUNDS_UNTIL_SILENT) recentLevels.removeFirst()
        val available = maxOf(0.0, recentLevels.max()) + refilled * ROUNDS_UNTIL_SILENT
        level -= remote.endRound(hosts, own.toldDemand, refilled, available, now)
        val heardDemand = own.toldDemand + remote.demand
        share = if (heardDemand > 0) own.toldDemand / heardDemand else 0.0
    }

    /** Applies what [host] told. */
    @Synchronized
    fun receive(host: HostName, report: ReportedUse, now: MonotonicInstant) {
        val added = remote.receive(host, report, now)
        val present = limit ?: return
        refill(present, now)
        level = (level - added).coerceIn(leastLevel(present), capacity(present))
    }

    /** Forgets the use of the former incarnation of [host]. */
    @Synchronized
    fun forget(host: HostName): Unit = remote.forget(host)

    /** How much a report is due; 0 if there is nothing to tell. */
    @Synchronized
    fun urgency(now: MonotonicInstant): Double = limit?.let { own.urgency(capacity(it), now) } ?: 0.0

    /** The report of this host's use, which the others know soon after [now]. */
    @Synchronized
    fun tell(now: MonotonicInstant): ReportedUse = own.tell(key, now)

    /** Whether there were no requests for a while. */
    @Synchronized
    fun isIdle(now: MonotonicInstant): Boolean =
        listOfNotNull(own.requestedAt, remote.receivedAt, startedAt).all { now - it > IDLE_AFTER }

    /** The state for logs and metrics. */
    @Synchronized
    fun state(now: MonotonicInstant): BucketState =
        BucketState(limit?.ratePerSecond ?: 0.0, level, share, own.demand, now - endedRoundAt)

    private fun refill(current: SharedLimit, now: MonotonicInstant) {
        if (limit == null && remote.toldDemand > current.ratePerSecond) refilledAt = now
        if (limit != null && limit != current) level = maxOf(level, leastLevel(current))
        limit = current
        val seconds = maxOf(0.0, (now - refilledAt).toDouble(DurationUnit.SECONDS))
        refilledAt = now
        level = minOf(capacity(current), level + seconds * current.ratePerSecond * AIM)
    }

    /**
     * With less than what is used during one exchange of reports, the hosts could not use the rate. The two sides of a
     * partition each keep a part, as each would otherwise save up a whole burst.
     */
    private fun capacity(limit: SharedLimit): Double =
        maxOf(limit.burst, limit.ratePerSecond * EXCHANGE_SECONDS) * (1 - remote.silentShare)

    private fun leastLevel(limit: SharedLimit): Double = -WINDOW_SECONDS * limit.ratePerSecond - limit.burst

    private fun retryAfter(missing: Double, limit: SharedLimit, draw: Double) =
        (missing / maxOf(limit.ratePerSecond, LEAST_RATE)).seconds.coerceIn(SHORTEST_WAIT, LONGEST_WAIT) * (1 + draw)

    private companion object {
        /** Part of the rate that is used; the rest covers clocks that differ and reports that are late. */
        const val AIM = 0.99

        /** Longest time from the use of units until all primary hosts know of it. */
        const val EXCHANGE_SECONDS = 0.6

        /** Seconds of the rate that the level may fall below zero; a damaged report could do more. */
        const val WINDOW_SECONDS = 8.0

        /** Rounds until a host counts as silent, and one in which it may have been heard just before. */
        const val ROUNDS_UNTIL_SILENT = 4

        /** How fast the cost of the largest request is forgotten, for each request. */
        const val LARGEST_MEMORY = 0.999
        const val LEAST_PART = 0.01
        const val LEAST_RATE = 0.001
        val SHORTEST_WAIT = 50.milliseconds
        val LONGEST_WAIT = 8.seconds
        val IDLE_AFTER = 60.seconds
    }
}
