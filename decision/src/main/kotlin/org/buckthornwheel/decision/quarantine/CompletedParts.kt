package org.buckthornwheel.decision.quarantine

import org.buckthornwheel.api.MonotonicInstant

/** Remembers when a request with each shared prompt part was last completed. Not thread-safe. */
internal class CompletedParts {
    private val completedAt = object : LinkedHashMap<String, MonotonicInstant>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, MonotonicInstant>): Boolean = size > MAXIMUM_PARTS
    }

    /** Records that a request with [part] was completed at [at]. */
    fun add(part: String, at: MonotonicInstant) {
        val known = completedAt[part]
        if (known == null || known < at) completedAt[part] = at
    }

    /** The last completion of a request with [part]; null if none is known. */
    fun lastCompletion(part: String): MonotonicInstant? = completedAt[part]

    private companion object {
        /** More parts than the replicas of a region can cache, which takes about 500 KB. */
        const val MAXIMUM_PARTS = 4_096
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
