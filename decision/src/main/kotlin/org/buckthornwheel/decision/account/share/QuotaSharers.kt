package org.buckthornwheel.decision.account.share

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.MonotonicInstant

/** The hosts that share the limits of accounts; an input of [SharedAccountQuotas]. */
public fun interface QuotaSharers {
    /** The view of this host at [now]. */
    public fun view(now: MonotonicInstant): SharersView
}

/**
 * The hosts that share the limits of accounts, as one host knows them.
 *
 * @property leastShare the part of a limit that this host may use without having told of any demand.
 * @property mostShare the part of a limit that this host may use at most: 1 if all hosts hear of it.
 * @property others the other hosts that serve callers.
 * @property reserved those of them that may be serving callers although they have not been heard for a while.
 */
public data class SharersView(
    public val leastShare: Double,
    public val mostShare: Double,
    public val others: Set<HostName>,
    public val reserved: Set<HostName>,
) {
    /**
     * Number of requests that this host may admit unannounced while the bucket holds them. The share of a small account
     * may be less than one request, and its callers rarely come to many hosts at the same moment.
     */
    internal val singleRequests: Double get() = (leastShare * REQUESTS_OF_ALL).coerceIn(LEAST_REQUESTS, MOST_REQUESTS)

    /** Shares of equals. */
    public companion object {
        /**
         * Multiple of the equal share that a host may use unannounced. Callers move between hosts faster than reports
         * pass; the sum over all hosts bounds what an account uses too much when it comes to all of them at once.
         */
        private const val EQUAL_SHARES = 4.0

        /** With few hosts, no single one may use the whole bucket unannounced. */
        private const val MAXIMUM = 0.7

        private const val REQUESTS_OF_ALL = 20
        private const val LEAST_REQUESTS = 2.0
        private const val MOST_REQUESTS = 4.0

        /** The part of a limit that each of [hosts] may use unannounced. */
        public fun unannouncedShare(hosts: Int): Double = if (hosts <= 1) 1.0 else minOf(MAXIMUM, EQUAL_SHARES / hosts)
    }
}
