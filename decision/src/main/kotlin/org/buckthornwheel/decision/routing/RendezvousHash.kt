package org.buckthornwheel.decision.routing

import org.apache.commons.codec.digest.MurmurHash3

/**
 * Rendezvous (highest random weight) hashing.
 *
 * Every host orders the same names in the same way for a key, without communication, and the removal of a name remaps
 * only the keys of that name.
 */
public object RendezvousHash {
    private const val SEED = 0
    private const val SEPARATOR = '\u0000'

    /** Orders [candidates] from the most to the least preferred for [key]. */
    public fun <T> order(key: String, candidates: Collection<T>, name: (T) -> String): List<T> =
        candidates.sortedWith(compareByDescending<T> { weight(key, name(it)) }.thenBy { name(it) })

    /** The weight of [name] for [key], evenly distributed over all 64-bit values. */
    public fun weight(key: String, name: String): Long {
        val bytes = (key + SEPARATOR + name).encodeToByteArray()
        return MurmurHash3.hash128x64(bytes, 0, bytes.size, SEED)[0]
    }

    /** The weight of [name] for [key] as a number from 0 (inclusive) to 1 (exclusive). */
    public fun fraction(key: String, name: String): Double = HashMixing.fraction(weight(key, name))
}
