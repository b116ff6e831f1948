package org.buckthornwheel.decision.replica

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration.Companion.milliseconds

/** Shared prompt parts that [replica] prefilled and should now have cached. */
public data class PromptPrefill(public val replica: ReplicaId, public val parts: List<PromptPart>)

/**
 * Collects the large shared prompts that this host has recently sent to replicas.
 *
 * They are reported to the other hosts in heartbeats, so that these know which replicas have them cached. Short prompts
 * are left out, since prefilling them takes less time than reporting them.
 */
public class RecentPrefills {
    private class Entry(val prefill: PromptPrefill, val at: MonotonicInstant)

    private val lock = Any()
    private val entries = ArrayDeque<Entry>()

    /** Records that [replica] prefills a prompt of [parts]; the last part is not shared with other requests. */
    public fun add(replica: ReplicaId, parts: List<PromptPart>, now: MonotonicInstant): Unit = synchronized(lock) {
        val shared = parts.dropLast(1)
        if (shared.sumOf { it.tokens } < MINIMUM_TOKENS) return@synchronized
        entries.addLast(Entry(PromptPrefill(replica, shared), now))
        if (entries.size > MAXIMUM_ENTRIES) entries.removeFirst()
    }

    /** The prefills to report at [now]; each is reported in at least two heartbeats, since one may be lost. */
    public fun toReport(now: MonotonicInstant): List<PromptPrefill> = synchronized(lock) {
        while (entries.isNotEmpty() && now - entries.first().at > REPORTED_FOR) entries.removeFirst()
        entries.map { it.prefill }
    }

    private companion object {
        const val MINIMUM_TOKENS = 1_024

        /** Keeps the datagram of a heartbeat at about a kilobyte. */
        const val MAXIMUM_ENTRIES = 20
        val REPORTED_FOR = 1_100.milliseconds
    }
}
