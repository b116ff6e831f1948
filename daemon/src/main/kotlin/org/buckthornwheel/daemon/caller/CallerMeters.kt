package org.buckthornwheel.daemon.caller

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.buckthornwheel.api.Outcome
import java.time.Duration

/** Timers of the callers' requests; the histograms have a fixed range, so that the number of time series is bounded. */
internal class CallerMeters(private val registry: MeterRegistry) {
    private val untilEnd = Outcome.entries.associateWith { timer("buckthornwheel.requests", it) }
    private val untilFirstByte = timer("buckthornwheel.requests.first.byte", outcome = null)

    /** Records that a request ended with [outcome] after [nanoseconds]. */
    fun recordEnd(outcome: Outcome, nanoseconds: Long) {
        untilEnd.getValue(outcome).record(Duration.ofNanos(nanoseconds))
    }

    /** Records that the first part of a response was available after [nanoseconds]. */
    fun recordFirstByte(nanoseconds: Long): Unit = untilFirstByte.record(Duration.ofNanos(nanoseconds))

    private fun timer(name: String, outcome: Outcome?): Timer {
        val builder = Timer.builder(name)
            .publishPercentileHistogram()
            .minimumExpectedValue(SHORTEST)
            .maximumExpectedValue(LONGEST)
        outcome?.let { builder.tag("outcome", it.headerValue) }
        return builder.register(registry)
    }

    private companion object {
        val SHORTEST: Duration = Duration.ofMillis(5)
        val LONGEST: Duration = Duration.ofSeconds(30)
    }
}
