/*
 * Limits that bind the sum over all hosts, each named by a number.
 *
 * Each host keeps a bucket of each limit that counts the use of all hosts, from cumulative counters in their
 * heartbeats. Until the others can know of it, a host uses at most its share of what is left; the share follows the
 * demand that all hosts told.
 */

package org.buckthornwheel.decision.account.share

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.account.QuotaVerdict
import java.util.concurrent.ConcurrentHashMap

/**
 * A limit of the sum over all hosts.
 *
 * @property ratePerSecond units that may be used in a second.
 * @property burst units that may be used at once after a pause.
 */
internal data class SharedLimit(val ratePerSecond: Double, val burst: Double)

/**
 * What a request asks of a limit.
 *
 * @property cost units that it takes.
 * @property demand units by which it adds to the demand: none if it has asked before.
 */
internal data class SharedClaim(val cost: Double, val demand: Double = cost)

/**
 * This host's share of limits. Rounds and reports come from one thread.
 *
 * @param startedAt time since which this host hears the others; buckets are empty at that time, since their burst may
 *   have been used elsewhere.
 * @param draw random numbers from 0 to 1.
 */
internal class SharedLimits(
    private val sharers: QuotaSharers,
    private val startedAt: MonotonicInstant,
    private val draw: () -> Double,
) {
    private val buckets = ConcurrentHashMap<Long, SharedBucket>()
    private val hosts = HeardHosts()
    private var sequence = 0L
    private var entriesDue = 0.0

    /** The view of the last round; a request does not wait for a new one. */
    @Volatile
    private var view: SharersView? = null

    @Volatile
    private var silentPart = 0.0

    /** Takes the units of [claim] from the limit [key], which is [limit], if they are within this host's share. */
    fun admit(key: Long, limit: SharedLimit, claim: SharedClaim, now: MonotonicInstant): QuotaVerdict =
        bucket(key).admit(limit, claim, view ?: sharers.view(now), draw(), now)

    /** Returns [cost] units to the limit [key]. */
    fun giveBack(key: Long, cost: Double) {
        buckets[key]?.giveBack(cost)
    }

    /** Ends a round, and returns what to tell about at most [mostUses] limits; null if there is nothing to tell. */
    fun endRound(mostUses: Double, now: MonotonicInstant): QuotaReport? {
        updateView(now)
        if (buckets.isEmpty()) return null
        buckets.values.removeIf { it.isIdle(now) }
        buckets.values.forEach { it.endRound(hosts, draw(), now) }
        val uses = mostUrgent(mostUses, now).map { it.tell(now) }
        sequence += 1
        return QuotaReport(sequence, uses).takeIf { uses.isNotEmpty() }
    }

    /** Records a message of the host [name], with its [report] if it has one. */
    fun receive(name: HostName, incarnation: Incarnation, report: QuotaReport?, now: MonotonicInstant) {
        val age = hosts.record(name, incarnation, report?.sequence, now)
        if (age == ReportAge.FIRST_OF_INCARNATION) buckets.values.forEach { it.forget(name) }
        if (age == ReportAge.OUTDATED || report == null) return
        for (use in report.uses) {
            val bucket = buckets[use.key] ?: newBucket(use.key) ?: continue
            bucket.receive(name, use, now)
        }
    }

    /** The state of the limit [key] at this host; null if it had no requests. */
    fun state(key: Long, now: MonotonicInstant): BucketState? = buckets[key]?.state(now)

    private fun updateView(now: MonotonicInstant) {
        val current = sharers.view(now)
        hosts.update(current, now)
        silentPart = hosts.silentPart
        view = current
    }

    /** The limits whose use the others know least; a part of [mostUses] is kept for the next round. */
    private fun mostUrgent(mostUses: Double, now: MonotonicInstant): List<SharedBucket> {
        entriesDue = minOf(entriesDue + mostUses, maxOf(mostUses, 1.0) * KEPT_ROUNDS)
        val urgent = buckets.values.map { it to it.urgency(now) }.filter { it.second > 0 }
        val chosen = urgent.sortedByDescending { it.second }.take(entriesDue.toInt())
        entriesDue -= chosen.size
        return chosen.map { it.first }
    }

    private fun bucket(key: Long): SharedBucket =
        buckets.computeIfAbsent(key) { SharedBucket(key, startedAt, silentPart) }

    private fun newBucket(key: Long): SharedBucket? = if (buckets.size < MAXIMUM_TOLD_LIMITS) bucket(key) else null

    private companion object {
        /** Limits that other hosts may make this one keep; a damaged report must not fill the memory. */
        const val MAXIMUM_TOLD_LIMITS = 4_096
        const val KEPT_ROUNDS = 2.0
    }
}
