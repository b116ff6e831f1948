package org.buckthornwheel.measurement.load

import kotlinx.coroutines.delay
import org.buckthornwheel.measurement.fit.Point
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/**
 * Mean cost of one request to the daemon in one run, without the daemon's idle usage.
 *
 * @property microseconds processor time per request.
 * @property bytes bytes allocated per request.
 */
public data class RequestCost(public val tokens: Int, public val microseconds: Double, public val bytes: Double) {
    /** Processor time as a function of tokens, for a linear fit. */
    public fun timePoint(): Point = Point(tokens.toDouble(), microseconds)

    /** Allocated bytes as a function of tokens, for a linear fit. */
    public fun allocationPoint(): Point = Point(tokens.toDouble(), bytes)
}

/** Measures the cost of requests to the daemon that [meter] observes. */
internal class ProcessorCost(private val meter: ProcessMeter, private val driver: LoadDriver) {
    /** Fraction of one core that the daemon uses while it serves no requests. */
    suspend fun idleShare(): Double {
        val usage = measureUsage { delay(IDLE_WINDOW) }
        return usage.time / IDLE_WINDOW
    }

    /** Mean cost of a request of [plan], run without warm-up; null if no request completed. */
    suspend fun costPerRequest(plan: LoadPlan, idleShare: Double): RequestCost? {
        val started = TimeSource.Monotonic.markNow()
        val usage = measureUsage { driver.run(plan.copy(warmUp = Duration.ZERO)) }
        val idle = started.elapsedNow() * idleShare
        val result = usage.result
        if (result.count(CallOutcome.COMPLETED) == 0L) return null
        return RequestCost(
            tokens = plan.shape.tokens,
            microseconds = (usage.time - idle).toDouble(DurationUnit.MICROSECONDS) / result.requests,
            bytes = usage.bytes.toDouble() / result.requests,
        )
    }

    private suspend fun <Result> measureUsage(block: suspend () -> Result): MeasuredUsage<Result> {
        val timeBefore = meter.processorTime()
        val bytesBefore = meter.allocatedBytes()
        val result = block()
        return MeasuredUsage(result, meter.processorTime() - timeBefore, meter.allocatedBytes() - bytesBefore)
    }

    private class MeasuredUsage<Result>(val result: Result, val time: Duration, val bytes: Long)

    private companion object {
        val IDLE_WINDOW = 4.seconds
    }
}
