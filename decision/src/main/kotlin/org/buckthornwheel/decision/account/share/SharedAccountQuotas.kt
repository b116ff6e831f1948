/*
 * Limits of client accounts that bind the sum over all hosts.
 *
 * Each host keeps a bucket of each account that counts the use of all hosts, from cumulative counters in their
 * heartbeats. Until the others can know of it, a host uses at most its share of what is left; the share follows the
 * demand that all hosts told.
 */

package org.buckthornwheel.decision.account.share

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.account.AccountLimit
import org.buckthornwheel.decision.account.AccountQuotas
import org.buckthornwheel.decision.account.QuotaVerdict
import java.util.concurrent.ConcurrentHashMap

/**
 * This host's share of the limits of all accounts. Rounds and reports come from one thread.
 *
 * @param startedAt time since which this host hears the others; buckets are empty at that time, since their burst may
 *   have been used elsewhere.
 * @param draw random numbers from 0 to 1.
 */
public class SharedAccountQuotas(
    private val sharers: QuotaSharers,
    private val startedAt: MonotonicInstant,
    private val draw: () -> Double,
) : AccountQuotas {
    private val buckets = ConcurrentHashMap<Long, AccountBucket>()
    private val hosts = HeardHosts()
    private var sequence = 0L
    private var entriesDue = 0.0

    /** The view of the last round; a request does not wait for a new one. */
    @Volatile
    private var view: SharersView? = null

    @Volatile
    private var silentPart = 0.0

    override fun admit(account: AccountName, limit: AccountLimit, cost: Double, now: MonotonicInstant): QuotaVerdict =
        bucket(AccountHash.of(account)).admit(limit, maxOf(0.0, cost), view ?: sharers.view(now), draw(), now)

    override fun giveBack(account: AccountName, cost: Double, now: MonotonicInstant) {
        buckets[AccountHash.of(account)]?.giveBack(maxOf(0.0, cost))
    }

    /** Ends a round, and returns what to tell about at most [mostUses] accounts; null if there is nothing to tell. */
    public fun endRound(mostUses: Double, now: MonotonicInstant): QuotaReport? {
        updateView(now)
        if (buckets.isEmpty()) return null
        buckets.values.removeIf { it.isIdle(now) }
        buckets.values.forEach { it.endRound(hosts, draw(), now) }
        val uses = mostUrgent(mostUses, now).map { it.tell(now) }
        sequence += 1
        return QuotaReport(sequence, uses).takeIf { uses.isNotEmpty() }
    }

    /** Records a message of the host [name], with its [report] if it has one. */
    public fun receive(name: HostName, incarnation: Incarnation, report: QuotaReport?, now: MonotonicInstant) {
        val age = hosts.record(name, incarnation, report?.sequence, now)
        if (age == ReportAge.FIRST_OF_INCARNATION) buckets.values.forEach { it.forget(name) }
        if (age == ReportAge.OUTDATED || report == null) return
        for (use in report.uses) {
            val bucket = buckets[use.account] ?: newBucket(use.account) ?: continue
            bucket.receive(name, use, now)
        }
    }

    /** The state of [account] at this host; null if it had no requests. */
    public fun state(account: AccountName, now: MonotonicInstant): BucketState? =
        buckets[AccountHash.of(account)]?.state(now)

    private fun updateView(now: MonotonicInstant) {
        val current = sharers.view(now)
        hosts.update(current, now)
        silentPart = hosts.silentPart
        view = current
    }

    /** The accounts whose use the others know least; a part of [mostUses] is kept for the next round. */
    private fun mostUrgent(mostUses: Double, now: MonotonicInstant): List<AccountBucket> {
        entriesDue = minOf(entriesDue + mostUses, maxOf(mostUses, 1.0) * KEPT_ROUNDS)
        val urgent = buckets.values.map { it to it.urgency(now) }.filter { it.second > 0 }
        val chosen = urgent.sortedByDescending { it.second }.take(entriesDue.toInt())
        entriesDue -= chosen.size
        return chosen.map { it.first }
    }

    private fun bucket(account: Long): AccountBucket =
        buckets.computeIfAbsent(account) { AccountBucket(account, startedAt, silentPart) }

    private fun newBucket(account: Long): AccountBucket? =
        if (buckets.size < MAXIMUM_TOLD_ACCOUNTS) bucket(account) else null

    private companion object {
        /** Accounts that other hosts may make this one keep; a damaged report must not fill the memory. */
        const val MAXIMUM_TOLD_ACCOUNTS = 4_096
        const val KEPT_ROUNDS = 2.0
    }
}
