package org.buckthornwheel.decision.quarantine

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Remembers when a request with each suspect was last completed. Not thread-safe. */
internal class CompletedParts {
    private val completedAt = LeastRecentlyUsed<MonotonicInstant>(MAXIMUM_PARTS)
    private val mistakes = LeastRecentlyUsed<Int>(MAXIMUM_MISTAKES)

    /** Records that a request with [part] was completed at [at]. */
    fun add(part: String, at: MonotonicInstant) {
        val known = completedAt[part]
        if (known == null || known < at) completedAt[part] = at
    }

    /** Records that [part] was quarantined by mistake, so that its completions clear it for longer. */
    fun addMistake(part: String) {
        mistakes[part] = (mistakes[part] ?: 0) + 1
    }

    /** The last completion of a request with [part]; null if none is known. */
    fun lastCompletion(part: String): MonotonicInstant? = completedAt[part]

    /** Whether a completion shows that [part] did not cause a crash at [crashedAt]. */
    fun clears(part: String, crashedAt: MonotonicInstant): Boolean =
        completedAt[part]?.let { it - crashedAt > -clearedFor(part) } ?: false

    private fun clearedFor(part: String): Duration {
        val doublings = GROWTH * (mistakes[part] ?: 0)
        return if (doublings >= MAXIMUM_DOUBLINGS) LONGEST_CLEARED else CLEARED_FOR * (1 shl doublings)
    }

    private class LeastRecentlyUsed<Value>(private val maximum: Int) :
        LinkedHashMap<String, Value>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, Value>): Boolean = size > maximum
    }

    private companion object {
        /** More parts than the replicas of a region can cache, which takes about 500 KB. */
        const val MAXIMUM_PARTS = 4_096
        const val MAXIMUM_MISTAKES = 256
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f

        /**
         * Time for which a completed request clears its parts. Long enough for several replicas to crash together and
         * again after their restart, before any request is completed.
         */
        val CLEARED_FOR = 5.seconds

        /** Limits the growth of that time to the lifetime of the evidence. */
        val LONGEST_CLEARED = 10.minutes
        const val GROWTH = 2
        const val MAXIMUM_DOUBLINGS = 6
    }
}
