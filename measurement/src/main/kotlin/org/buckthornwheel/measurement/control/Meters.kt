/*
 * Meters for the processor time and memory that code uses inside this process.
 */

package org.buckthornwheel.measurement.control

import java.lang.management.ManagementFactory

/** Measures processor time, which is less sensitive to other load on the machine than wall-clock time. */
internal object ProcessorMeter {
    private const val ROUNDS = 5
    private const val NANOSECONDS_PER_MICROSECOND = 1_000.0
    private val threads = ManagementFactory.getThreadMXBean()

    /** Processor time of one call of [block] in microseconds: the minimum over several rounds of [repeats] calls. */
    fun microseconds(repeats: Int, block: () -> Any?): Double {
        repeat(repeats) { sink = block() }
        return (1..ROUNDS).minOf { round(repeats, block) }
    }

    private fun round(repeats: Int, block: () -> Any?): Double {
        val before = threads.currentThreadCpuTime
        repeat(repeats) { sink = block() }
        return (threads.currentThreadCpuTime - before) / NANOSECONDS_PER_MICROSECOND / repeats
    }

    @Volatile
    private var sink: Any? = null
}

/** Measures the heap that objects retain. */
internal object RetainedMemory {
    private const val COLLECTIONS = 3
    private const val SETTLE_MILLISECONDS = 20L

    /** Bytes that one result of [create] retains, as the mean over [copies] results. */
    fun bytes(copies: Int, create: (Int) -> Any): Double {
        create(0)
        val before = usedBytes()
        val retained = (1..copies).map(create)
        val after = usedBytes()
        check(retained.size == copies)
        return (after - before).toDouble() / copies
    }

    private fun usedBytes(): Long {
        repeat(COLLECTIONS) {
            System.gc()
            Thread.sleep(SETTLE_MILLISECONDS)
        }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }
}
