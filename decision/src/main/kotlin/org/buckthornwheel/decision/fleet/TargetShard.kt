package org.buckthornwheel.decision.fleet

import org.buckthornwheel.api.MonotonicInstant
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/** The state of one target: written under its own lock, read without one. */
public class TargetShard internal constructor(private val limits: FleetLimits) {
    private val lock = ReentrantLock()

    /** The current state. */
    @Volatile
    public var record: TargetRecord = TargetRecord()
        private set

    internal fun report(load: TargetLoad, now: MonotonicInstant): Unit = lock.withLock {
        val previous = record
        val isRecovery = previous.isRefusing ||
            (previous.lastReportAt?.let { now - it > limits.silenceBeforeSlowStart } ?: false)
        record = previous.copy(
            lastReport = load,
            lastReportAt = now,
            sentSinceReport = 0,
            isRefusing = false,
            ejectedUntil = if (previous.isRefusing) null else previous.ejectedUntil,
            slowStartFrom = if (isRecovery) now else previous.slowStartFrom,
        )
    }

    internal fun recordStart(): Unit = lock.withLock {
        val previous = record
        record = previous.copy(ownInFlight = previous.ownInFlight + 1, sentSinceReport = previous.sentSinceReport + 1)
    }

    internal fun recordEnd(result: TargetAttemptResult, took: Duration, now: MonotonicInstant): Unit = lock.withLock {
        val previous = record.copy(ownInFlight = record.ownInFlight - 1)
        record = when (result) {
            TargetAttemptResult.SUCCEEDED ->
                previous.copy(consecutiveFailures = 0, averageDuration = movingAverage(previous, took))
            TargetAttemptResult.FAILED -> afterFailure(previous, now)
            TargetAttemptResult.REFUSED -> previous.copy(isRefusing = true, ejectedUntil = now + limits.ejectionTime)
            TargetAttemptResult.ABANDONED -> previous
        }
    }

    private fun afterFailure(previous: TargetRecord, now: MonotonicInstant): TargetRecord {
        val failures = previous.consecutiveFailures + 1
        if (failures < limits.failuresToEject) return previous.copy(consecutiveFailures = failures)
        val until = now + limits.ejectionTime
        return previous.copy(consecutiveFailures = 0, ejectedUntil = until, slowStartFrom = until)
    }

    private fun movingAverage(previous: TargetRecord, duration: Duration): Duration {
        val before = previous.averageDuration ?: return duration
        return before * (1 - NEWEST_SAMPLE_WEIGHT) + duration * NEWEST_SAMPLE_WEIGHT
    }

    private companion object {
        const val NEWEST_SAMPLE_WEIGHT = 0.1
    }
}
