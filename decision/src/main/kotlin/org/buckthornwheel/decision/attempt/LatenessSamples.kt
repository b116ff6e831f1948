package org.buckthornwheel.decision.attempt

/**
 * The latest ratios of the actual to the predicted time until a response started.
 *
 * A quantile is computed anew only after several samples, so that a sample costs little. Not thread-safe.
 */
internal class LatenessSamples {
    private val ratios = DoubleArray(SIZE)
    private var added = 0L
    private var computedAt = -1L
    private var computedShare = 0.0
    private var computed = 0.0

    fun add(ratio: Double) {
        ratios[(added % SIZE).toInt()] = ratio
        added += 1
    }

    /** The ratio that only [share] of the samples exceed; null before there are enough samples. */
    fun exceededBy(share: Double): Double? {
        if (added < MINIMUM_SAMPLES) return null
        if (computedAt < 0 || added - computedAt >= SAMPLES_BETWEEN || share != computedShare) compute(share)
        return computed
    }

    private fun compute(share: Double) {
        val count = minOf(added, SIZE.toLong()).toInt()
        val sorted = ratios.copyOf(count).apply { sort() }
        computed = sorted[((count - 1) * (1 - share)).toInt()]
        computedAt = added
        computedShare = share
    }

    private companion object {
        /** Samples of some seconds at the load of one host; a quantile of one in a hundred needs a few hundred. */
        const val SIZE = 512
        const val MINIMUM_SAMPLES = 64
        const val SAMPLES_BETWEEN = 16
    }
}
