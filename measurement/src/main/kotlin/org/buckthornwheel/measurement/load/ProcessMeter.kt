package org.buckthornwheel.measurement.load

import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.readLines
import kotlin.time.Duration
import kotlin.time.toKotlinDuration

/**
 * Reads the resource usage of one process from the operating system and its garbage collection log.
 *
 * @property garbageCollectionLog file to which the process logs its garbage collections.
 */
public class ProcessMeter(private val processId: Long, private val garbageCollectionLog: Path) {
    /** Processor time of all threads since the start of the process. */
    public fun processorTime(): Duration =
        ProcessHandle.of(processId).flatMap { it.info().totalCpuDuration() }.orElseThrow().toKotlinDuration()

    /** Resident memory, in bytes. */
    public fun residentBytes(): Long {
        val line = Path.of("/proc", processId.toString(), "status").readLines().first { it.startsWith("VmRSS:") }
        return line.split(SPACES)[1].toLong() * BYTES_PER_KIBIBYTE
    }

    /** Bytes allocated up to the last collection; the figure lags by at most one young generation. */
    public fun allocatedBytes(): Long =
        if (garbageCollectionLog.exists()) GarbageCollectionLog.allocatedBytes(garbageCollectionLog.readLines()) else 0

    private companion object {
        val SPACES = Regex("\\s+")
        const val BYTES_PER_KIBIBYTE = 1_024
    }
}
