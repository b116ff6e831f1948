package org.buckthornwheel.decision.replica

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.quarantine.ReplicaRun
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The limit that a run of a replica named to this host, for other hosts of its region.
 *
 * @property requestsPerSecond requests that it takes from all hosts together in a second.
 * @property age time since this host last received a response with it.
 */
public data class NamedLimit(
    public val run: ReplicaRun,
    public val requestsPerSecond: Double,
    public val age: Duration,
)

/** A change of the limit in force, in requests a second; null stands for none. */
public data class LimitChange(public val from: Double?, public val to: Double?)

/**
 * What one run of a replica says of the requests that it takes. Not thread-safe.
 *
 * Responses overtake each other on different connections. A lower figure therefore applies at once, while a higher one
 * or none counts only if its request was sent after the figure in force was received.
 */
internal class ReplicaRequestLimit {
    private class Evidence(val requestsPerSecond: Double, val at: MonotonicInstant)

    private var own: Evidence? = null

    /** When the latest request was sent whose response counted. */
    private var observedSince: MonotonicInstant? = null
    private var told: Evidence? = null
    private var toldAt: MonotonicInstant? = null

    /** The limit in force at [now]: the lower one of what the replica said here and of newer evidence of others. */
    fun current(now: MonotonicInstant): Double? {
        val reported = told?.takeIf { isToldValid(it, now) }
        return listOfNotNull(own?.requestsPerSecond, reported?.requestsPerSecond).minOrNull()
    }

    /** Records that a response to a request that was sent at [sentAt] named [figure], or no limit if that is null. */
    fun record(figure: Double?, sentAt: MonotonicInstant, now: MonotonicInstant): LimitChange? {
        val before = current(now)
        val present = own
        val isLower = figure != null && (present == null || figure <= present.requestsPerSecond)
        if (!isLower && present != null && sentAt <= present.at) return null
        own = figure?.let { Evidence(it, now) }
        observedSince = listOfNotNull(observedSince, sentAt).max()
        return change(before, now)
    }

    /** Records that another host received [figure] at [at]. */
    fun recordTold(figure: Double, at: MonotonicInstant, now: MonotonicInstant): LimitChange? {
        val before = current(now)
        val present = told?.takeIf { isToldValid(it, now) }
        if (present != null && at < present.at) return null
        told = Evidence(figure, at)
        toldAt = now
        return change(before, now)
    }

    /** The figure named to this host, and its age at [now], for other hosts. */
    fun toReport(run: ReplicaRun, now: MonotonicInstant): NamedLimit? =
        own?.let { NamedLimit(run, it.requestsPerSecond, now - it.at) }

    private fun isToldValid(evidence: Evidence, now: MonotonicInstant): Boolean {
        val heard = toldAt ?: return false
        val observed = observedSince
        return now - heard <= TOLD_FOR && (observed == null || evidence.at >= observed)
    }

    private fun change(before: Double?, now: MonotonicInstant): LimitChange? =
        LimitChange(before, current(now)).takeIf { it.from != it.to }

    private companion object {
        /** Time after which another host that stopped reporting a limit may have stopped working. */
        val TOLD_FOR = 4.seconds
    }
}
