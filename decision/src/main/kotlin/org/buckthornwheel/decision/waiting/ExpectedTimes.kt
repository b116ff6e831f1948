package org.buckthornwheel.decision.waiting

import kotlin.time.Duration

/** A moving average of durations, with their mean deviation from it. */
internal class MovingDuration {
    private var mean: Duration? = null
    private var deviation = Duration.ZERO

    /** The mean plus the mean deviation; zero before the first sample. */
    val cautious: Duration get() = mean?.let { it + deviation } ?: Duration.ZERO

    fun add(sample: Duration) {
        val before = mean ?: sample
        mean = before + (sample - before) * NEWEST_SAMPLE_WEIGHT
        deviation += ((sample - before).absoluteValue - deviation) * NEWEST_SAMPLE_WEIGHT
    }

    private companion object {
        /** About the last ten samples count. */
        const val NEWEST_SAMPLE_WEIGHT = 0.15
    }
}

/** What requests of one rank take once they have started, and how far predicted waits were off. */
internal class ExpectedTimes {
    /** Time from the start to the first byte of the response. */
    val responseStart = MovingDuration()

    /** Time from the start to the end of the response. */
    val whole = MovingDuration()

    /** By how much requests have waited longer than predicted; shorter waits count as none. */
    val excessWait = MovingDuration()
}
