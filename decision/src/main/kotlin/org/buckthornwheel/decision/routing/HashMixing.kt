package org.buckthornwheel.decision.routing

/** Hashes 64-bit values to evenly distributed ones without allocation, for the router's pseudorandom choices. */
internal object HashMixing {
    private const val FIRST_MULTIPLIER = -0x40a7b892e31b1a47L
    private const val SECOND_MULTIPLIER = -0x6b2fb644ecceee15L
    private const val FIRST_SHIFT = 30
    private const val SECOND_SHIFT = 27
    private const val THIRD_SHIFT = 31
    private const val FRACTION_SHIFT = 11
    private const val FRACTION_UNIT = 1.0 / (1L shl 53)

    /** Hashes [one] and [other] with the finalizer of SplitMix64. */
    fun mix(one: Long, other: Long): Long {
        var value = one xor (other * FIRST_MULTIPLIER)
        value = (value xor (value ushr FIRST_SHIFT)) * FIRST_MULTIPLIER
        value = (value xor (value ushr SECOND_SHIFT)) * SECOND_MULTIPLIER
        return value xor (value ushr THIRD_SHIFT)
    }

    /** Maps [hash] to a number from 0 (inclusive) to 1 (exclusive). */
    fun fraction(hash: Long): Double = (hash ushr FRACTION_SHIFT) * FRACTION_UNIT

    /** Maps [hash] to an index below [size]. */
    fun index(hash: Long, size: Int): Int = (fraction(hash) * size).toInt()
}
