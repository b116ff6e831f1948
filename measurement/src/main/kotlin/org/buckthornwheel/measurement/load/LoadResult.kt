package org.buckthornwheel.measurement.load

import org.HdrHistogram.Histogram
import org.HdrHistogram.Recorder
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Outcome of a request as its caller sees it. */
public enum class CallOutcome {
    /** The complete response arrived within the timeout. */
    COMPLETED,

    /** The gateway rejected the request and reported that it was not executed. */
    REFUSED,

    /** The request failed in any other way. */
    FAILED,

    /** The request did not end within the timeout. */
    LATE,
}

/**
 * Latencies in microseconds and outcomes of the recorded requests.
 *
 * Latency is measured from the intended start, so that stalls of the load driver are included.
 */
public class LoadResult(private val measured: Duration) {
    private val latencyRecorder = recorder()
    private val firstTokenRecorder = recorder()
    private val counts = CallOutcome.entries.associateWith { AtomicLong() }
    private val forwarded = AtomicLong()

    /** Latency until the end of the response; to be read after the run. */
    public val latency: Histogram by lazy { latencyRecorder.intervalHistogram }

    /** Latency until the first token; to be read after the run. */
    public val firstToken: Histogram by lazy { firstTokenRecorder.intervalHistogram }

    /** Number of requests with the given [outcome]. */
    public fun count(outcome: CallOutcome): Long = counts.getValue(outcome).get()

    /** Number of requests with any outcome. */
    public val requests: Long get() = counts.values.sumOf { it.get() }

    /** Completed requests per second. */
    public val goodput: Double get() = count(CallOutcome.COMPLETED) / measured.toDouble(DurationUnit.SECONDS)

    /** Fraction of the completed requests that another zone served. */
    public val shareForwarded: Double
        get() =
            if (count(CallOutcome.COMPLETED) == 0L) 0.0 else forwarded.get().toDouble() / count(CallOutcome.COMPLETED)

    /** Records one request. */
    internal fun record(call: FinishedCall) {
        counts.getValue(call.outcome).incrementAndGet()
        if (call.outcome != CallOutcome.COMPLETED) return
        latencyRecorder.recordValue(call.latency.microseconds())
        call.firstToken?.let { firstTokenRecorder.recordValue(it.microseconds()) }
        if (call.hops > 0) forwarded.incrementAndGet()
    }

    private fun Duration.microseconds(): Long = inWholeMicroseconds.coerceIn(0, HIGHEST_MICROSECONDS)

    private companion object {
        const val HIGHEST_MICROSECONDS = 120_000_000L
        const val DIGITS = 3

        fun recorder(): Recorder = Recorder(HIGHEST_MICROSECONDS, DIGITS)
    }
}

/** Latency at [percentile] in milliseconds. */
public fun Histogram.milliseconds(percentile: Double): Double =
    getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND

private const val MICROSECONDS_PER_MILLISECOND = 1_000.0
