package org.buckthornwheel.decision.fleet

import org.buckthornwheel.api.MonotonicInstant
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/** The state of one target: written under its own lock, read without one. */
public class TargetShard internal constructor(private val limits: FleetLimits) {
    private val lock = ReentrantLock()

    /** What is known now. */
    @Volatile
    public var record: TargetRecord = TargetRecord()
        private set

    internal fun report(load: TargetLoad, now: MonotonicInstant): Unit = lock.withLock {
        val known = record
        val returns = known.isRefusing || (known.lastReportAt?.let { now - it > limits.silenceBeforeReturn } ?: false)
        record = known.copy(
            lastReport = load,
            lastReportAt = now,
            sentSinceReport = 0,
            isRefusing = false,
            outUntil = if (known.isRefusing) null else known.outUntil,
            returnedAt = if (returns) now else known.returnedAt,
        )
    }

    internal fun recordStart(): Unit = lock.withLock {
        val known = record
        record = known.copy(ownInFlight = known.ownInFlight + 1, sentSinceReport = known.sentSinceReport + 1)
    }

    internal fun recordEnd(end: TargetAttemptResult, took: Duration, now: MonotonicInstant): Unit = lock.withLock {
        val known = record.copy(ownInFlight = record.ownInFlight - 1)
        record = when (end) {
            TargetAttemptResult.SUCCEEDED -> known.copy(consecutiveFailures = 0, averageDuration = average(known, took))
            TargetAttemptResult.FAILED -> failed(known, now)
            TargetAttemptResult.REFUSED -> known.copy(isRefusing = true, outUntil = now + limits.ejectionTime)
            TargetAttemptResult.ABANDONED -> known
        }
    }

    private fun failed(known: TargetRecord, now: MonotonicInstant): TargetRecord {
        val failures = known.consecutiveFailures + 1
        if (failures < limits.failuresToEject) return known.copy(consecutiveFailures = failures)
        val until = now + limits.ejectionTime
        return known.copy(consecutiveFailures = 0, outUntil = until, returnedAt = until)
    }

    private fun average(known: TargetRecord, took: Duration): Duration {
        val before = known.averageDuration ?: return took
        return before * (1 - NEWEST_WEIGHT) + took * NEWEST_WEIGHT
    }

    private companion object {
        const val NEWEST_WEIGHT = 0.1
    }
}
