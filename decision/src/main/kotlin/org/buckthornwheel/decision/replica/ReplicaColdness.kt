package org.buckthornwheel.decision.replica

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration

/**
 * Whether a replica is cold, or may be since its run is doubted, and the pace of this host's requests to it meanwhile.
 * Thread-safe.
 *
 * @param startedAt start of the registered run in Unix milliseconds; what is told of another run is ignored.
 */
public class ReplicaColdness internal constructor(private var startedAt: Long) {
    private val lock = Any()
    private val pace = ColdPace()
    private val doubt = RunDoubt()
    private var until: MonotonicInstant? = null

    /** Applies a registration of the run that started at [newStart], by which it is cold until [coldUntil]. */
    internal fun register(newStart: Long, coldUntil: MonotonicInstant?): Unit = synchronized(lock) {
        if (newStart != startedAt) {
            startedAt = newStart
            doubt.register(newStart)
            pace.awaitUnpaced()
        }
        if (coldUntil != null) extend(coldUntil)
    }

    /** Marks the replica as cold until [coldUntil], unless it is known to be cold for longer. */
    public fun markUntil(coldUntil: MonotonicInstant): Unit = synchronized(lock) { extend(coldUntil) }

    /** Counts the requests that this host has just sent, since the replica was cold before the host learned of it. */
    private fun extend(coldUntil: MonotonicInstant) {
        until = listOfNotNull(until, coldUntil).max()
        pace.awaitUnpaced()
    }

    /** Records a sign at [now] that the run which started at [run] has ended; returns whether it is the known one. */
    public fun recordSignOfEnd(run: Long, now: MonotonicInstant): Boolean = synchronized(lock) {
        if (run != startedAt) return@synchronized false
        doubt.raise(now)
        pace.awaitUnpaced()
        true
    }

    /** Records that the replica refused a connection at [at]: the run that got the requests before it has ended. */
    public fun recordAbsence(at: MonotonicInstant): Unit = synchronized(lock) { pace.forgetUnpaced(at) }

    /** Records that the run which started at [run] existed at [asOf]; returns whether that ends the doubt. */
    public fun recordRunning(run: Long, asOf: MonotonicInstant): Boolean =
        synchronized(lock) { run == startedAt && doubt.refute(asOf) }

    /**
     * Records that a later run than the one which started at [run] existed at [asOf], before its registration arrived.
     * It started at [answering] if it said so, and has warmed up at [warmAt], unless it answered before. Returns
     * whether that explains all signs of the end of a run.
     */
    public fun recordRestart(run: Long, answering: Long?, asOf: MonotonicInstant, warmAt: MonotonicInstant): Boolean =
        synchronized(lock) { run == startedAt && doubt.confirm(answering, asOf, warmAt) }

    /** Whether the run that started at [run] is the known one, and may have ended. */
    public fun isDoubted(run: Long, now: MonotonicInstant): Boolean =
        synchronized(lock) { run == startedAt && doubt.isRaised(now) }

    /** Whether there is a sign that the run which started at [run] has ended, which no answer has explained. */
    public fun hasUnansweredSign(run: Long): Boolean = synchronized(lock) { run == startedAt && doubt.isUnanswered }

    /** Whether the run that started at [run] is the known one, and nothing says that another one has followed it. */
    public fun isRunCertain(run: Long, now: MonotonicInstant): Boolean =
        synchronized(lock) { run == startedAt && !doubt.isRaised(now) && !doubt.hasLaterRun }

    /** Whether the replica is cold at [now] by what was said of it, not because its run is doubted. */
    public fun isRegisteredCold(now: MonotonicInstant): Boolean =
        synchronized(lock) { until?.let { now < it } ?: false }

    /** Whether the replica is cold at [now], or may be. */
    public fun isCold(now: MonotonicInstant): Boolean = synchronized(lock) { isColdAt(now) }

    private fun isColdAt(now: MonotonicInstant): Boolean = until?.let { now < it } == true || doubt.isRaised(now)

    /**
     * Takes a request that was placed while the replica counted as warm, and is sent at [now]. Returns false if the
     * replica is cold by now.
     */
    public fun takeUnpaced(now: MonotonicInstant): Boolean = synchronized(lock) {
        if (isColdAt(now)) return@synchronized false
        pace.recordUnpaced(now)
        true
    }

    /** Whether this host's next request to the cold replica is due at [now]. */
    public fun permitsRequest(now: MonotonicInstant): Boolean = synchronized(lock) { pace.permits(now) }

    /**
     * Takes this host's next request at [now], so that the one after it is due after [interval]. Returns false if the
     * replica is not cold, or none is due.
     */
    public fun takeRequest(interval: Duration, now: MonotonicInstant): Boolean = synchronized(lock) {
        if (isColdAt(now)) return@synchronized pace.take(interval, now)
        pace.recordUnpaced(now)
        false
    }
}
