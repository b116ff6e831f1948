package org.buckthornwheel.decision.routing

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.decision.estate.Estate

/** Computes the regions that may serve a request; no step ever adds a region. */
public object Residency {
    /**
     * The regions permitted by both [carried], which were forwarded with the request, and the residency rule of
     * [account] in [estate]; null if neither restricts the request.
     *
     * Thus, a host that has not received a rule yet cannot widen it, and a rule newer than the request also applies.
     */
    public fun narrow(carried: Set<RegionName>?, estate: Estate, account: AccountName): Set<RegionName>? {
        val own = estate.residencyRule(account)?.permittedRegions?.toSet()
        return if (carried == null || own == null) carried ?: own else carried intersect own
    }
}
