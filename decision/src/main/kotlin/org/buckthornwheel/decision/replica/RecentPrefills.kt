package org.buckthornwheel.decision.replica

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration.Companion.milliseconds

/** Shared prompt parts that a replica was made to read. */
public data class PromptRead(public val replica: ReplicaId, public val parts: List<PromptPart>)

/**
 * The large shared prompts that this host has lately sent to replicas, so that other hosts learn where they are kept.
 *
 * Short prompts are left out: they are read in less time than it takes to tell of them.
 */
public class RecentPrefills {
    private class Entry(val read: PromptRead, val at: MonotonicInstant)

    private val lock = Any()
    private val entries = ArrayDeque<Entry>()

    /** Notes that [replica] reads a prompt of [parts]; the last part is the request's own. */
    public fun add(replica: ReplicaId, parts: List<PromptPart>, now: MonotonicInstant): Unit = synchronized(lock) {
        val shared = parts.dropLast(1)
        if (shared.sumOf { it.tokens } < LEAST_TOKENS) return@synchronized
        entries.addLast(Entry(PromptRead(replica, shared), now))
        if (entries.size > MOST_ENTRIES) entries.removeFirst()
    }

    /** The reads that are news at [now]; each is told in two heartbeats or more, as one may be lost. */
    public fun toReport(now: MonotonicInstant): List<PromptRead> = synchronized(lock) {
        while (entries.isNotEmpty() && now - entries.first().at > TOLD_FOR) entries.removeFirst()
        entries.map { it.read }
    }

    private companion object {
        const val LEAST_TOKENS = 1_024

        /** Bounds a heartbeat to a datagram of about a kilobyte. */
        const val MOST_ENTRIES = 20
        val TOLD_FOR = 1_100.milliseconds
    }
}
