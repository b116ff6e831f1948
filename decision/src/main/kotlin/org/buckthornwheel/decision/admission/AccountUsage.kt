package org.buckthornwheel.decision.admission

import kotlinx.collections.immutable.ImmutableMap
import org.buckthornwheel.api.AccountName

/** What an account uses: requests admitted a second, and requests in flight. */
public data class AccountUsage(public val requestsPerSecond: Double, public val requestsInFlight: Int)

/** What accounts use at this host; the admission aggregate offers it, the exchange between hosts tells it to others. */
public fun interface LocalUsage {
    /** Every account with any usage. */
    public fun current(): ImmutableMap<AccountName, AccountUsage>
}

/** What accounts use at all other hosts together; the exchange between hosts offers it, admission counts it in. */
public fun interface RemoteUsage {
    /** The usage of [account] at the other hosts, as far as is known. */
    public fun of(account: AccountName): AccountUsage
}
