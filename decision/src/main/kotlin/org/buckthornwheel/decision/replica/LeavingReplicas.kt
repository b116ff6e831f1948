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
     * Until when [run] is presumed to be leaving: it had started before an announcement that was taken for that of an
     * earlier run, since the registration of a new run can arrive after its first responses. Null if it is not.
     */
    fun presumedUntil(run: ReplicaRun): MonotonicInstant? = synchronized(lock) {
        announcements.filter { (known, it) -> isEarlier(known, run) && hadStarted(run, it) }
            .mapNotNull { (_, it) -> it.at }
            .maxOrNull()?.let { it + PRESUMED_FOR }
    }

    private fun isEarlier(known: ReplicaRun, run: ReplicaRun): Boolean =
        known.replica == run.replica && known.startedAt != Replica.UNKNOWN_START && known.startedAt < run.startedAt

    private fun hadStarted(run: ReplicaRun, announcement: Announcement): Boolean =
        announcement.unixMilliseconds != null && run.startedAt <= announcement.unixMilliseconds

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

        /** The registration of a run that is leaving says so within seconds; a clock that is wrong costs no more. */
        val PRESUMED_FOR = 8.seconds

        /** Several of the longest heartbeat intervals. */
        val REPORTED_FOR = 10.seconds
    }
}
