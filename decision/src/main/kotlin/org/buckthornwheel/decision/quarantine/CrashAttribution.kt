package org.buckthornwheel.decision.quarantine

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration.Companion.seconds

/**
 * Finds the prompt parts that crash replicas.
 *
 * Load pattern: each request with a certain part crashes the replica that begins to answer it, and all other requests
 * in progress there are lost with it. Their parts appear in the crash too, but unlike the responsible one they are also
 * completed elsewhere, before or after.
 */
internal object CrashAttribution {
    /** The parts that explain the [crashes], with the runs that each of them crashed. */
    fun responsibleParts(
        crashes: List<ReplicaCrash>,
        lastCompletion: (String) -> MonotonicInstant?,
    ): Map<String, List<ReplicaRun>> {
        val responsible = LinkedHashMap<String, List<ReplicaRun>>()
        var unexplained = crashes.map { it.copy(suspects = suspects(it, lastCompletion)) }
        while (true) {
            val found = candidates(unexplained, lastCompletion).minWithOrNull(MOST_LIKELY) ?: return responsible
            responsible[found.part] = found.runs
            unexplained = unexplained.filterNot { found.part in it.suspects }
        }
    }

    /**
     * A part with enough crashes. Other parts of the same prompts have nearly as many or more. The responsible one was
     * never completed, or the longest ago. Otherwise, a later part of a prompt is more likely, since fewer requests
     * have it.
     */
    private class Candidate(
        val part: String,
        val lastCompletion: MonotonicInstant?,
        val position: Int,
        val runs: List<ReplicaRun>,
    )

    private fun candidates(
        crashes: List<ReplicaCrash>,
        lastCompletion: (String) -> MonotonicInstant?,
    ): List<Candidate> = crashes.flatMap { it.suspects.keys }.toSet()
        .associateWith { part -> crashes.filter { part in it.suspects } }
        .filterValues { it.size >= MINIMUM_CRASHES }
        .map { (part, found) ->
            val position = found.maxOf { it.suspects.getValue(part) }
            Candidate(part, lastCompletion(part), position, found.map { it.run })
        }

    /** The number of [crashes] in which [part] is a suspect. */
    fun crashesOf(part: String, crashes: List<ReplicaCrash>, lastCompletion: (String) -> MonotonicInstant?): Int =
        crashes.count { part in it.suspects && !isCleared(part, it.at, lastCompletion) }

    /** The parts that may be responsible for [crash]. */
    fun suspects(crash: ReplicaCrash, lastCompletion: (String) -> MonotonicInstant?): Map<String, Int> =
        crash.suspects.filterKeys { !isCleared(it, crash.at, lastCompletion) }

    private fun isCleared(
        part: String,
        crashedAt: MonotonicInstant,
        lastCompletion: (String) -> MonotonicInstant?,
    ): Boolean = lastCompletion(part)?.let { it - crashedAt > -CLEARED_FOR } ?: false

    private val MOST_LIKELY: Comparator<Candidate> =
        compareBy<Candidate> { it.lastCompletion ?: MonotonicInstant(Long.MIN_VALUE) }
            .thenByDescending { it.position }
            .thenByDescending { it.runs.size }

    /** Fewer crashes may coincide by chance, since a lost request is retried at a replica that crashes too. */
    const val MINIMUM_CRASHES = 3

    /**
     * Time for which a completed request clears its parts. Long enough for several replicas to crash together and again
     * after their restart, before any request is completed.
     */
    private val CLEARED_FOR = 5.seconds
}
