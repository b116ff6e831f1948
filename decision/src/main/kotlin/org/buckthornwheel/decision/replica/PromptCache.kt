package org.buckthornwheel.decision.replica

/** One part of a prompt: parts are cached by identifier, each only behind all parts before it. */
public data class PromptPart(public val id: String, public val tokens: Int)

/**
 * The prompt parts that a replica is believed to keep, least recently used first out.
 *
 * The belief rests on this host's own requests; other hosts fill the same memory unseen, so [capacityTokens] should
 * be a share of the replica's memory.
 */
public class PromptCache(private val capacityTokens: Long) {
    private val tokensByPart = LinkedHashMap<String, Int>(INITIAL_PARTS, LOAD_FACTOR, true)
    private var total = 0L

    /** The leading tokens of [parts] that are believed to be kept. */
    public fun cachedTokens(parts: List<PromptPart>): Int {
        var found = 0
        for (part in parts) {
            if (!tokensByPart.containsKey(part.id)) return found
            found += part.tokens
        }
        return found
    }

    /** Remembers that [parts] were read. */
    public fun remember(parts: List<PromptPart>) {
        for (part in parts) {
            total += part.tokens - (tokensByPart.put(part.id, part.tokens) ?: 0)
        }
        val eldest = tokensByPart.entries.iterator()
        while (total > capacityTokens && eldest.hasNext()) {
            total -= eldest.next().value
            eldest.remove()
        }
    }

    /** Forgets everything; the replica has started anew. */
    public fun clear() {
        tokensByPart.clear()
        total = 0
    }

    private companion object {
        const val INITIAL_PARTS = 64
        const val LOAD_FACTOR = 0.75f
    }
}
