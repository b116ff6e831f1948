package org.buckthornwheel.measurement.control

import org.buckthornwheel.measurement.load.ProcessMeter
import org.buckthornwheel.testing.LocalHost
import org.buckthornwheel.testing.Operator
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/**
 * Cumulative resource usage of a host's process at one moment.
 *
 * @property controlBytesSent control traffic sent to other hosts; null if the daemon does not count it.
 * @property heapBytes heap in use, including garbage.
 */
internal class HostSample private constructor(
    private val takenAt: TimeSource.Monotonic.ValueTimeMark,
    private val processorTime: Duration,
    private val controlBytesSent: Double?,
    val residentBytes: Long,
    val heapBytes: Double?,
) {
    /** Mean fraction of one core used between [earlier] and this sample. */
    fun processorShareSince(earlier: HostSample): Double =
        (processorTime - earlier.processorTime) / (takenAt - earlier.takenAt)

    /** Control bytes sent per second between [earlier] and this sample; null if they are not counted. */
    fun controlBytesPerSecondSince(earlier: HostSample): Double? {
        val before = earlier.controlBytesSent ?: return null
        val seconds = (takenAt - earlier.takenAt).toDouble(DurationUnit.SECONDS)
        return controlBytesSent?.let { (it - before) / seconds }
    }

    companion object {
        private const val SENT_BYTES_METRIC = "buckthornwheel_control_bytes_total{direction=\"sent\"}"
        private const val HEAP_METRIC = "jvm_memory_used_bytes{area=\"heap\""

        /** Samples the process of [host] and its metrics endpoint. */
        suspend fun of(host: LocalHost, meter: ProcessMeter, operator: Operator): HostSample {
            val metrics = operator.get(host, "/metrics").lines()
            return HostSample(
                takenAt = TimeSource.Monotonic.markNow(),
                processorTime = meter.processorTime(),
                controlBytesSent = metrics.sumOfMetric(SENT_BYTES_METRIC),
                residentBytes = meter.residentBytes(),
                heapBytes = metrics.sumOfMetric(HEAP_METRIC),
            )
        }

        private fun List<String>.sumOfMetric(prefix: String): Double? = filter { it.startsWith(prefix) }
            .mapNotNull { it.substringAfterLast(' ').toDoubleOrNull() }
            .takeIf { it.isNotEmpty() }
            ?.sum()
    }
}
