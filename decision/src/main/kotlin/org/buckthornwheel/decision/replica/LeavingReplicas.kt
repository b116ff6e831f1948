package org.buckthornwheel.decision.replica

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.quarantine.ReplicaRun
import kotlin.time.Duration.Companion.seconds

/**
 * Remembers the runs of replicas that are leaving.
 *
 * Kept apart from the registrations: a host may learn of it before it knows the registration, and an old registration
 * may be read again after the replica was removed. Thread-safe.
 */
internal class LeavingReplicas {
    private val lock = Any()

    /** The time of the announcement to this host; null if it was registered or another host reported it. */
    private val announcedAt = LinkedHashMap<ReplicaRun, MonotonicInstant?>()

    /**
     * Adds [run], which announced to this host at [at] that it is leaving, or null if it was registered as leaving or
     * another host reported it. Returns false if that is known.
     */
    fun add(run: ReplicaRun, at: MonotonicInstant?): Boolean = synchronized(lock) {
        if (run in announcedAt && (at == null || announcedAt[run] != null)) return@synchronized false
        announcedAt[run] = at
        if (announcedAt.size > MAXIMUM_RUNS) announcedAt.remove(announcedAt.keys.first())
        true
    }

    operator fun contains(run: ReplicaRun): Boolean = synchronized(lock) { run in announcedAt }

    /** The runs to report to other hosts at [now]: the newest that announced themselves to this host. */
    fun toReport(now: MonotonicInstant): List<ReplicaRun> = synchronized(lock) {
        announcedAt.entries.filter { (_, at) -> at != null && now - at <= REPORTED_FOR }
            .takeLast(MAXIMUM_REPORTED).map { it.key }
    }

    private companion object {
        /** As many replicas as a large deployment has; an older entry belongs to one that has ended. */
        const val MAXIMUM_RUNS = 1_024

        /** Keeps a report at about half a kilobyte. */
        const val MAXIMUM_REPORTED = 16

        /** Several of the longest heartbeat intervals. */
        val REPORTED_FOR = 10.seconds
    }
}
