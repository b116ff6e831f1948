/*
 * The accounts of memory that callers, other hosts and replicas can make a host use.
 *
 * Bodies and responses are kept in direct memory, heads as objects on the heap. Each has a share of what the process
 * may use. The rest is left to buffers of single reads, connections and everything else.
 */

package org.buckthornwheel.forwarding.limits

import io.netty.util.internal.PlatformDependent
import org.buckthornwheel.decision.memory.MemoryBudget

/** The accounts of one process, sized from the limits of the JVM and of the [machine]. */
internal class HostMemory(machine: MachineLimits = MachineLimits()) {
    private val direct = directBytes(machine)
    private val heap = Runtime.getRuntime().maxMemory()

    /** Bodies of requests, and bytes that were read and not decoded. */
    val bodies = MemoryBudget(direct / 2, reserve = direct / 8, smallBytes = SMALL_BODY_BYTES)

    /** Heads of requests, at the cost of their objects. */
    val heads = MemoryBudget(heap / 4, reserve = heap / 16, smallBytes = SMALL_HEAD_BYTES)

    /** Responses that are buffered or that their receivers have not read. */
    val responses = MemoryBudget(direct / 4)

    /** The accounts by the name of their owner in metrics. */
    val byOwner: Map<String, MemoryBudget> = mapOf("bodies" to bodies, "heads" to heads, "responses" to responses)

    private fun directBytes(machine: MachineLimits): Long {
        val permitted = PlatformDependent.estimateMaxDirectMemory()
        val memory = machine.memoryMegabytes ?: return permitted
        val left = memory * BYTES_PER_MEGABYTE - Runtime.getRuntime().maxMemory() - OTHER_BYTES
        return minOf(permitted, maxOf(left, MINIMUM_DIRECT_BYTES))
    }

    private companion object {
        /** Longest body of an ordinary request, such as a prompt or a transaction. */
        const val SMALL_BODY_BYTES = 65_536L

        /** Cost of the head of an ordinary request: a few kilobytes in some tens of fields. */
        const val SMALL_HEAD_BYTES = 32_768L
        const val BYTES_PER_MEGABYTE = 1_048_576L

        /** Code, classes, threads and the collector of the JVM. */
        const val OTHER_BYTES = 96 * BYTES_PER_MEGABYTE

        /** Half of this holds the longest body that callers may send. */
        const val MINIMUM_DIRECT_BYTES = 16 * BYTES_PER_MEGABYTE
    }
}
