package org.buckthornwheel.decision.account.share

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.MonotonicInstant

/** The hosts that share limits. */
public fun interface QuotaSharers {
    /** The view of this host at [now]. */
    public fun view(now: MonotonicInstant): SharersView
}

/**
 * The hosts that share limits, as one host knows them.
 *
 * @property leastShare the part of a limit that this host may use without having told of any demand.
 * @property mostShare the part of a limit that this host may use at most: 1 if all hosts hear of it.
 * @property others the other hosts that serve callers.
 * @property reserved those of them that may be serving callers although they have not been heard for a while.
 * @property singleRequests number of requests that this host may admit unannounced while the bucket holds them.
 */
public data class SharersView(
    public val leastShare: Double,
    public val mostShare: Double,
    public val others: Set<HostName>,
    public val reserved: Set<HostName>,
    public val singleRequests: Double = singleRequests(leastShare),
) {
    /** Shares of equals. */
    public companion object {
        /**
         * Multiple of the equal share that a host may use unannounced. Callers move between hosts faster than reports
         * pass; the sum over all hosts bounds what an account uses too much when it comes to all of them at once.
         */
        public const val EQUAL_SHARES: Double = 4.0

        /** With few hosts, no single one may use the whole bucket unannounced. */
        private const val MAXIMUM = 0.7

        private const val REQUESTS_OF_ALL = 20
        private const val LEAST_REQUESTS = 2.0
        private const val MOST_REQUESTS = 4.0

        /**
         * The share of a small account may be less than one request, and its callers rarely come to many hosts at the
         * same moment.
         */
        private fun singleRequests(leastShare: Double): Double =
            (leastShare * REQUESTS_OF_ALL).coerceIn(LEAST_REQUESTS, MOST_REQUESTS)

        /** The part of a limit that each of [hosts] may use unannounced: [equalShares] of equal ones. */
        public fun unannouncedShare(hosts: Int, equalShares: Double = EQUAL_SHARES): Double =
            if (hosts <= 1) 1.0 else minOf(MAXIMUM, equalShares / hosts)
    }
}
