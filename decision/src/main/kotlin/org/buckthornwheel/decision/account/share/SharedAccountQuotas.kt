/*
 * Limits of client accounts that bind the sum over all hosts.
 */

package org.buckthornwheel.decision.account.share

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.account.AccountLimit
import org.buckthornwheel.decision.account.AccountQuotas
import org.buckthornwheel.decision.account.QuotaVerdict

/**
 * This host's share of the limits of all accounts. Rounds and reports come from one thread.
 *
 * @param startedAt time since which this host hears the others; buckets are empty at that time, since their burst may
 *   have been used elsewhere.
 * @param draw random numbers from 0 to 1.
 */
public class SharedAccountQuotas(sharers: QuotaSharers, startedAt: MonotonicInstant, draw: () -> Double) :
    AccountQuotas {
    private val limits = SharedLimits(sharers, startedAt, draw)

    override fun admit(account: AccountName, limit: AccountLimit, cost: Double, now: MonotonicInstant): QuotaVerdict {
        val shared = SharedLimit(limit.ratePerSecond, limit.burst)
        return limits.admit(AccountHash.of(account), shared, SharedClaim(maxOf(0.0, cost)), now)
    }

    override fun giveBack(account: AccountName, cost: Double, now: MonotonicInstant): Unit =
        limits.giveBack(AccountHash.of(account), maxOf(0.0, cost))

    /** Ends a round, and returns what to tell about at most [mostUses] accounts; null if there is nothing to tell. */
    public fun endRound(mostUses: Double, now: MonotonicInstant): QuotaReport? = limits.endRound(mostUses, now)

    /** Records a message of the host [name], with its [report] if it has one. */
    public fun receive(name: HostName, incarnation: Incarnation, report: QuotaReport?, now: MonotonicInstant): Unit =
        limits.receive(name, incarnation, report, now)

    /** The state of [account] at this host; null if it had no requests. */
    public fun state(account: AccountName, now: MonotonicInstant): BucketState? =
        limits.state(AccountHash.of(account), now)
}
