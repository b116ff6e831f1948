package org.buckthornwheel.decision.admission

import kotlinx.collections.immutable.ImmutableMap
import org.buckthornwheel.api.AccountName

/** Usage of an account: requests admitted per second, and requests in flight. */
public data class AccountUsage(public val requestsPerSecond: Double, public val requestsInFlight: Int)

/** Usage of the accounts at this host; [Admission] provides it, and the hosts report it to each other. */
public fun interface LocalUsage {
    /** The usage of all accounts that have any. */
    public fun current(): ImmutableMap<AccountName, AccountUsage>
}

/** Usage of the accounts at all other hosts together, from their reports; an input of [Admission]. */
public fun interface RemoteUsage {
    /** The known usage of [account] at the other hosts. */
    public fun of(account: AccountName): AccountUsage
}
