/*
 * This host's part of the budgets that all hosts share without talking to each other about every request.
 *
 * Load pattern: all hosts lose power at once and start again within a second, while replicas are cold or fail. Each
 * host then knows few of the others and would take a larger part than it is due; all hosts together exceed the budget.
 */

package org.buckthornwheel.decision.entry

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.replica.ReplicaId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Determines this host's part of shared budgets from the known [hosts].
 *
 * @param estateKnownSince time at which this host first learned the estate, and with it the registered hosts; null
 *   before that.
 * @param settlingTime time after which this host knows the other hosts, and these know this one. Before that, it takes
 *   no part of the shared budgets.
 * @param retrySettlingTime time within which this host takes no part of the allowance for retries. At least the window
 *   in which they are counted: the former process of this host may have used the same part just before its end.
 */
public class SharedBudgets(
    private val hosts: KnownEntryHosts,
    private val settlingTime: Duration,
    private val retrySettlingTime: Duration,
    private val estateKnownSince: () -> MonotonicInstant?,
) {
    /** The number of hosts that share the budget for retries at [now]; null while this host may take no part of it. */
    public fun retrySharers(now: MonotonicInstant): Int? =
        if (isKnownFor(retrySettlingTime, now)) hosts.budgetSharers(now, region = null) else null

    /** Whether this host may send a request to the cold [replica] at [now]. */
    public fun mayUseColdReplica(replica: ReplicaId, now: MonotonicInstant): Boolean =
        isKnownFor(settlingTime, now) && hosts.mayUseColdReplica(replica, now)

    private fun isKnownFor(time: Duration, now: MonotonicInstant): Boolean =
        estateKnownSince()?.let { now - it >= time } ?: false

    /** Times. */
    public companion object {
        /**
         * Time within which two hosts learn of each other: a registration that the store rejects is repeated after
         * 1.5 s, and arrives through the store or through heartbeats within another second.
         */
        public val LEARNING_TIME: Duration = 2_500.milliseconds

        /**
         * The learning time, and the second in which the requests to a cold replica are counted: until then, a host
         * that this one replaces among the users of the replica may have sent requests.
         */
        public val SETTLING_TIME: Duration = LEARNING_TIME + 1.seconds
    }
}
