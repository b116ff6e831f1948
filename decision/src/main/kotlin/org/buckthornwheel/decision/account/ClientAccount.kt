/*
 * Client accounts as the manifest declares them.
 */

package org.buckthornwheel.decision.account

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.RegionName

/** A secret with which a caller shows its account; its text never appears in logs. */
@JvmInline
public value class AccountKey(public val value: String) {
    override fun toString(): String = "(account key)"
}

/**
 * One client account.
 *
 * @property keys the keys that are valid at present.
 * @property homeRegions the regions that may serve its requests; empty if all may.
 * @property priority priority of its requests, which takes precedence over the route's; null for the route's.
 * @property limit its limit over all hosts together; null for none.
 */
public data class ClientAccount(
    public val name: AccountName,
    public val keys: Set<AccountKey>,
    public val homeRegions: Set<RegionName>,
    public val priority: Int?,
    public val limit: AccountLimit?,
)
