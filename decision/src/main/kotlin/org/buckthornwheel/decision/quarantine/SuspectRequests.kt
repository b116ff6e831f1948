package org.buckthornwheel.decision.quarantine

import org.buckthornwheel.api.MonotonicInstant

/**
 * Remembers in which crashes each whole request was in progress. Not thread-safe.
 *
 * Unlike a prompt part, a request is rarely in more than one crash by chance, and a mistake concerns that request
 * alone. Therefore, a lost connection counts as soon as it is certain, so that fewer of its attempts reach replicas.
 */
internal class SuspectRequests(private val completed: CompletedParts) {
    private class Loss(val at: MonotonicInstant)

    private val losses = object : LinkedHashMap<String, LinkedHashMap<ReplicaRun, Loss>>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, LinkedHashMap<ReplicaRun, Loss>>): Boolean =
            size > MAXIMUM_REQUESTS
    }

    /** Whether no request is known. */
    val isEmpty: Boolean get() = losses.isEmpty()

    operator fun contains(request: String): Boolean = request in losses

    /** Records that [request] was in progress when [run] crashed at [at]. */
    fun add(request: String, run: ReplicaRun, at: MonotonicInstant) {
        val runs = losses.getOrPut(request) { LinkedHashMap() }
        if (runs.size < MAXIMUM_RUNS) runs.putIfAbsent(run, Loss(at))
    }

    /** The number of crashes of [request] that no completion of it contradicts. */
    fun crashesOf(request: String): Int = runsOf(request).size

    /** The runs that [request] may have crashed. */
    fun runsOf(request: String): List<ReplicaRun> =
        losses[request]?.filterValues { !completed.clears(request, it.at) }?.keys?.toList().orEmpty()

    /** The requests that were in at least [crashes] crashes. */
    fun repeated(crashes: Int): List<String> =
        losses.filterValues { it.size >= crashes }.keys.filter { crashesOf(it) >= crashes }

    /** The requests that were in progress when [run] crashed and were not completed since, the most frequent first. */
    fun requestsIn(run: ReplicaRun): List<String> = losses
        .filter { (request, runs) -> runs[run]?.let { !completed.clears(request, it.at) } ?: false }
        .entries.sortedByDescending { it.value.size }.map { it.key }

    /** Removes crashes before [oldest]. */
    fun removeBefore(oldest: MonotonicInstant) {
        losses.values.forEach { runs -> runs.values.removeIf { it.at < oldest } }
        losses.values.removeIf { it.isEmpty() }
    }

    private companion object {
        /** Requests of many crashes, which take about a megabyte. */
        const val MAXIMUM_REQUESTS = 4_096
        const val MAXIMUM_RUNS = 8
    }
}
