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
    /** When a run announced to this host that it is leaving; both are null if this host learned of it otherwise. */
    private class Announcement(val at: MonotonicInstant?, val unixMilliseconds: Long?)

    private val lock = Any()
    private val announcements = LinkedHashMap<ReplicaRun, Announcement>()

    /**
     * Adds [run], which announced to this host at [at], in Unix milliseconds at [unixMilliseconds], that it is leaving;
     * null if it was registered as leaving or another host reported it. Returns false if that is known.
     */
    fun add(run: ReplicaRun, at: MonotonicInstant?, unixMilliseconds: Long? = null): Boolean = synchronized(lock) {
        val known = announcements[run]
        if (known != null && (at == null || known.at != null)) return@synchronized false
        announcements[run] = Announcement(at, unixMilliseconds)
        if (announcements.size > MAXIMUM_RUNS) announcements.remove(announcements.keys.first())
        true
    }

    operator fun contains(run: ReplicaRun): Boolean = synchronized(lock) { run in announcements }

    /**
     * Whether an announcement that was taken for that of an earlier run must have been that of [run], which had started
     * before it. The registration of a new run can arrive after its first responses.
     */
    fun includesUnregistered(run: ReplicaRun): Boolean = synchronized(lock) {
        announcements.any { (known, announcement) ->
            val isEarlierRun = known.replica == run.replica && known.startedAt < run.startedAt
            val until = announcement.unixMilliseconds
            isEarlierRun && known.startedAt != Replica.UNKNOWN_START && until != null && run.startedAt <= until
        }
    }

    /** The runs to report to other hosts at [now]: the newest that announced themselves to this host. */
    fun toReport(now: MonotonicInstant): List<ReplicaRun> = synchronized(lock) {
        announcements.entries.filter { (_, it) -> it.at != null && now - it.at <= REPORTED_FOR }
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
