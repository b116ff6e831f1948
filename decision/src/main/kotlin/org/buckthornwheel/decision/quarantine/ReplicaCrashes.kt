package org.buckthornwheel.decision.quarantine

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Collects the crashes of replicas from lost connections and from the reports of other hosts. Not thread-safe.
 *
 * A single lost connection is no crash: replicas also drop connections while they keep running. A crash is confirmed by
 * a second lost connection to the same run, by a refused one, or by the end of the replica's registration.
 */
internal class ReplicaCrashes {
    private class Record(val at: MonotonicInstant) {
        var losses = 0
        var isConfirmed = false
        val suspects = LinkedHashMap<String, Int>()

        fun addSuspects(positions: Map<String, Int>) {
            for ((part, position) in positions) if (suspects.size < MAXIMUM_SUSPECTS) suspects[part] = position
        }
    }

    private val records = LinkedHashMap<ReplicaRun, Record>()
    private val refusals = LinkedHashMap<ReplicaRun, MonotonicInstant>()

    /** The known crashes, confirmed or not, from the oldest to the newest. */
    fun all(): List<ReplicaCrash> =
        records.map { (run, record) -> ReplicaCrash(run, record.at, record.isConfirmed, record.suspects.toMap()) }

    /**
     * Records that the connection of a request with the shared [parts] to [run] was lost. [isCertain] is false if the
     * response may have ended with its connection.
     */
    fun addLoss(run: ReplicaRun, parts: List<String>, isCertain: Boolean, now: MonotonicInstant) {
        val record = recordOf(run, now)
        record.addSuspects(parts.withIndex().associate { (position, part) -> part to position })
        if (isCertain) record.losses += 1
        if (record.losses >= CONFIRMING_LOSSES || isRefusedAfter(run, record)) record.isConfirmed = true
    }

    /** Records that [run] refused a connection. */
    fun addRefusal(run: ReplicaRun, now: MonotonicInstant) {
        refusals.remove(run)
        refusals[run] = now
        removeEldest(refusals)
        records[run]?.let { if (isRefusedAfter(run, it)) it.isConfirmed = true }
    }

    /** Adds a [crash] that another host reported. */
    fun merge(crash: ReplicaCrash) {
        val record = recordOf(crash.run, crash.at)
        record.addSuspects(crash.suspects)
        if (crash.isConfirmed || isRefusedAfter(crash.run, record)) record.isConfirmed = true
    }

    /** Confirms the crashes of runs that are no longer registered. */
    fun confirmUnregistered(isRegistered: (ReplicaRun) -> Boolean) {
        for ((run, record) in records) if (!record.isConfirmed && !isRegistered(run)) record.isConfirmed = true
    }

    /** Removes the crashes that are too old to be compared with new ones. */
    fun removeExpired(now: MonotonicInstant) {
        records.values.removeIf { now - it.at > EVIDENCE_LIFETIME }
        refusals.values.removeIf { now - it > EVIDENCE_LIFETIME }
    }

    /** The record of the crash of [run] at [at]. An older one that was not confirmed was only a lost connection. */
    private fun recordOf(run: ReplicaRun, at: MonotonicInstant): Record {
        val present = records[run]
        if (present != null && (present.isConfirmed || at - present.at <= CRASH_DURATION)) return present
        records.remove(run)
        val record = Record(at)
        records[run] = record
        removeEldest(records)
        return record
    }

    private fun isRefusedAfter(run: ReplicaRun, record: Record): Boolean {
        val refusedAt = refusals[run] ?: return false
        return refusedAt - record.at in -CRASH_DURATION..REFUSAL_DELAY
    }

    private fun removeEldest(map: LinkedHashMap<ReplicaRun, *>) {
        if (map.size > MAXIMUM_CRASHES) map.remove(map.keys.first())
    }

    private companion object {
        const val CONFIRMING_LOSSES = 2

        /** Limits on memory; crashes of replicas are rare. */
        const val MAXIMUM_CRASHES = 64
        const val MAXIMUM_SUSPECTS = 48

        /** Time within which the hosts notice that their connections to a crashed replica are gone. */
        val CRASH_DURATION = 1.seconds

        /** Time after a crash within which requests still reach the registered address of the replica. */
        val REFUSAL_DELAY = 3.seconds
        val EVIDENCE_LIFETIME = 10.minutes
    }
}
