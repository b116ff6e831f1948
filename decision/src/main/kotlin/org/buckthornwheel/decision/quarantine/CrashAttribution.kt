package org.buckthornwheel.decision.quarantine

import org.buckthornwheel.api.MonotonicInstant

/**
 * Finds the prompt parts that crash replicas.
 *
 * Load pattern: each request with a certain part crashes the replica that begins to answer it, and all other requests
 * in progress there are lost with it. Their parts appear in the crash too, but unlike the responsible one they are also
 * completed elsewhere, before or after.
 */
internal object CrashAttribution {
    /**
     * The parts that explain the [crashes], with the runs that each of them crashed. [requestOf] is the whole request
     * that is already known to have crashed a run: its crashes count once, since what caused them may not be in the
     * part, and only against parts that were in progress in all of them, as its own parts were.
     */
    fun responsibleParts(
        crashes: List<ReplicaCrash>,
        completed: CompletedParts,
        requestOf: (ReplicaRun) -> String?,
    ): Map<String, List<ReplicaRun>> {
        val responsible = LinkedHashMap<String, List<ReplicaRun>>()
        var unexplained = crashes.map { it.copy(suspects = suspects(it, completed)) }
        while (true) {
            val found = candidates(unexplained, completed, requestOf).minWithOrNull(MOST_LIKELY) ?: return responsible
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
        completed: CompletedParts,
        requestOf: (ReplicaRun) -> String?,
    ): List<Candidate> = crashes.flatMap { it.suspects.keys }.toSet()
        .associateWith { part -> crashes.filter { part in it.suspects } }
        .filterValues { it.size >= MINIMUM_CRASHES && countOf(it, crashes, requestOf) >= MINIMUM_CRASHES }
        .map { (part, found) ->
            val position = found.maxOf { it.suspects.getValue(part) }
            Candidate(part, completed.lastCompletion(part), position, found.map { it.run })
        }

    /** The number of causes that the [found] ones among [crashes] have at least. */
    private fun countOf(
        found: List<ReplicaCrash>,
        crashes: List<ReplicaCrash>,
        requestOf: (ReplicaRun) -> String?,
    ): Int {
        val (unknown, known) = found.groupBy { requestOf(it.run) }.entries.partition { it.key == null }
        val crashesOfRequest = crashes.groupingBy { requestOf(it.run) }.eachCount()
        return unknown.sumOf { it.value.size } + known.count { (request, own) -> own.size == crashesOfRequest[request] }
    }

    /** The number of [crashes] in which [part] is a suspect. */
    fun crashesOf(part: String, crashes: List<ReplicaCrash>, completed: CompletedParts): Int =
        crashes.count { part in it.suspects && !completed.clears(part, it.at) }

    /** The parts that may be responsible for [crash]. */
    fun suspects(crash: ReplicaCrash, completed: CompletedParts): Map<String, Int> =
        crash.suspects.filterKeys { !completed.clears(it, crash.at) }

    private val MOST_LIKELY: Comparator<Candidate> =
        compareBy<Candidate> { it.lastCompletion ?: MonotonicInstant(Long.MIN_VALUE) }
            .thenByDescending { it.position }
            .thenByDescending { it.runs.size }

    /** Fewer crashes may coincide by chance, since a lost request is retried at a replica that crashes too. */
    const val MINIMUM_CRASHES = 3
}
