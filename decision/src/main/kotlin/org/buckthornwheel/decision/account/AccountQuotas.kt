/*
 * Enforcement of the limits of client accounts at one host.
 */

package org.buckthornwheel.decision.account

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration

/** Whether a request is within the limit of its account. */
public sealed interface QuotaVerdict {
    /** The request is within the limit, and its units are taken. */
    public data object Admitted : QuotaVerdict

    /** The request is beyond the limit; its units are expected to be available after [retryAfter]. */
    public data class Exceeded(public val retryAfter: Duration) : QuotaVerdict
}

/** Decides whether requests are within the limits of their accounts. Thread-safe. */
public interface AccountQuotas {
    /** Takes [cost] units of [account], whose limit is [limit], if they are within this host's share of it. */
    public fun admit(account: AccountName, limit: AccountLimit, cost: Double, now: MonotonicInstant): QuotaVerdict

    /** Returns [cost] units to [account], since the request that took them was certainly not run. */
    public fun giveBack(account: AccountName, cost: Double, now: MonotonicInstant)

    /** Predefined enforcements. */
    public companion object {
        /** Admits every request. */
        public val UNLIMITED: AccountQuotas = object : AccountQuotas {
            override fun admit(
                account: AccountName,
                limit: AccountLimit,
                cost: Double,
                now: MonotonicInstant,
            ): QuotaVerdict = QuotaVerdict.Admitted

            override fun giveBack(account: AccountName, cost: Double, now: MonotonicInstant): Unit = Unit
        }
    }
}
