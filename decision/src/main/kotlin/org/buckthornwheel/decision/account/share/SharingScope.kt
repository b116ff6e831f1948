package org.buckthornwheel.decision.account.share

import org.buckthornwheel.api.HostName

/** Which hosts share limits, and how much each may use before the others know. */
public enum class SharingScope(private val equalShares: Double) {
    /** Those of all regions, for accounts, whose callers rarely come to many hosts at the same moment. */
    ALL_REGIONS(SharersView.EQUAL_SHARES),

    /** Those of one region, for its replicas, whose requests come from all hosts of the region at the same moment. */
    OWN_REGION(2.0),
    ;

    /** The view of one of [hosts], which may use at most [mostShare]; for the others see [SharersView]. */
    internal fun view(hosts: Int, mostShare: Double, others: Set<HostName>, reserved: Set<HostName>): SharersView {
        val leastShare = minOf(SharersView.unannouncedShare(hosts, equalShares), mostShare)
        val view = SharersView(leastShare, mostShare, others, reserved)
        return if (this == OWN_REGION) view.copy(singleRequests = 0.0) else view
    }
}
