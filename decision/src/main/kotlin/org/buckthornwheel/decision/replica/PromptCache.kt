package org.buckthornwheel.decision.replica

/** One part of a prompt, cached by its identifier; usable only if all parts before it are cached, too. */
public data class PromptPart(public val id: String, public val tokens: Int)

/**
 * Estimates which prompt parts a replica has in its prefix cache, with least-recently-used eviction.
 *
 * The estimate is based on the prefills that this host knows of. Other hosts also fill the replica's memory without
 * this host seeing it, so [capacityTokens] should be only a share of that memory.
 */
public class PromptCache(private val capacityTokens: Long) {
    private val tokensByPart = LinkedHashMap<String, Int>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var totalTokens = 0L

    /** The number of leading tokens of [parts] that are estimated to be cached. */
    public fun cachedTokens(parts: List<PromptPart>): Int {
        var cached = 0
        for (part in parts) {
            if (!tokensByPart.containsKey(part.id)) return cached
            cached += part.tokens
        }
        return cached
    }

    /** Adds [parts], which were prefilled, and evicts the least recently used parts beyond the capacity. */
    public fun add(parts: List<PromptPart>) {
        for (part in parts) {
            totalTokens += part.tokens - (tokensByPart.put(part.id, part.tokens) ?: 0)
        }
        val eldest = tokensByPart.entries.iterator()
        while (totalTokens > capacityTokens && eldest.hasNext()) {
            totalTokens -= eldest.next().value
            eldest.remove()
        }
    }

    /** Removes all parts, since a restarted replica has an empty cache. */
    public fun clear() {
        tokensByPart.clear()
        totalTokens = 0
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
