/*
 * Limits that replicas name themselves, over all hosts of their region.
 */

package org.buckthornwheel.decision.account.share

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.account.QuotaVerdict
import org.buckthornwheel.decision.quarantine.ReplicaRun

/**
 * This host's share of the limits that replicas name. Rounds and reports come from one thread.
 *
 * Buckets count thousandths of a request, since counters and demands are told as whole numbers.
 *
 * @param startedAt time since which this host hears the others.
 * @param draw random numbers from 0 to 1.
 */
public class SharedReplicaLimits(sharers: QuotaSharers, startedAt: MonotonicInstant, draw: () -> Double) {
    private val limits = SharedLimits(sharers, startedAt, draw)

    /**
     * Takes one request of [run], which takes [requestsPerSecond], if it is within this host's share.
     *
     * @param isRepeated whether the same request was refused there before, so that it is no further demand.
     */
    public fun take(
        run: ReplicaRun,
        requestsPerSecond: Double,
        isRepeated: Boolean,
        now: MonotonicInstant,
    ): QuotaVerdict {
        val rate = maxOf(requestsPerSecond, PROBES_PER_SECOND).coerceAtMost(MAXIMUM_RATE) * REQUEST
        val burst = REQUEST + minOf(rate, REQUEST)
        val claim = SharedClaim(REQUEST, demand = if (isRepeated) 0.0 else REQUEST)
        return limits.admit(ReplicaRunHash.of(run), SharedLimit(rate, burst), claim, now)
    }

    /** Returns the request that was taken of [run], which certainly did not get it. */
    public fun giveBack(run: ReplicaRun): Unit = limits.giveBack(ReplicaRunHash.of(run), REQUEST)

    /** Ends a round, and returns what to tell about at most [mostUses] replicas; null if there is nothing to tell. */
    public fun endRound(mostUses: Double, now: MonotonicInstant): QuotaReport? = limits.endRound(mostUses, now)

    /** Records a message of the host [name], with its [report] if it has one. */
    public fun receive(name: HostName, incarnation: Incarnation, report: QuotaReport?, now: MonotonicInstant): Unit =
        limits.receive(name, incarnation, report, now)

    /** The state of the limit of [run] at this host; null if it had no requests. */
    public fun state(run: ReplicaRun, now: MonotonicInstant): BucketState? = limits.state(ReplicaRunHash.of(run), now)

    private companion object {
        /** Units of a request. */
        const val REQUEST = 1_000.0

        /** A replica that takes none gets some nevertheless, as only its responses can tell that its limit ended. */
        const val PROBES_PER_SECOND = 0.25

        /** Bounds the counters, whatever a replica says. */
        const val MAXIMUM_RATE = 1e9
    }
}
