package org.buckthornwheel.decision.placement

import org.buckthornwheel.decision.replica.ReplicaSnapshot
import kotlin.time.DurationUnit

/**
 * Limits how many requests a replica may have at once, including those in its own queue.
 *
 * Covers a service that has lost replicas while the remaining ones are far away: without requests queued at a replica,
 * its slots are idle while the next request is in transit. A queue keeps the slots busy, but only up to a length at
 * which the last request still starts well within its target latency. Urgent requests may join a longer queue, so that
 * less urgent ones are rejected first. A less urgent request with a longer target joins no longer queue than a more
 * urgent one of its service, which would otherwise find the replica full although it would be admitted first there.
 */
internal class QueueLimits(private val costs: CostModel) {
    /** Whether the replica of [snapshot] has capacity for [request]. */
    fun hasCapacity(snapshot: ReplicaSnapshot, request: PlacementRequest): Boolean {
        if (snapshot.load.requests >= snapshot.replica.slots + queueLimit(snapshot, request)) return false
        if (snapshot.tokenCapacity <= 0 || snapshot.load.requests == 0) return true
        val needed = request.promptTokens + request.outputTokens
        return snapshot.load.tokens + needed <= snapshot.tokenCapacity * MEMORY_SHARE
    }

    private fun queueLimit(snapshot: ReplicaSnapshot, request: PlacementRequest): Int {
        val isPlainService = snapshot.tokenCapacity <= 0
        val waitShare = if (isPlainService) PLAIN_WAIT_SHARE else engineWaitShare(request)
        val maximumWait =
            minOf(request.targetLatency, request.queueTarget).toDouble(DurationUnit.MILLISECONDS) * waitShare
        val positions = (maximumWait / maxOf(1.0, costs.slotWaitMilliseconds(snapshot))).toInt()
        val maximumPerSlot = if (isPlainService) MAXIMUM_PLAIN_QUEUE_PER_SLOT else MAXIMUM_QUEUE_PER_SLOT
        return minOf(positions, (snapshot.replica.slots * maximumPerSlot).toInt())
    }

    private fun engineWaitShare(request: PlacementRequest): Double =
        if (request.isUrgent) URGENT_WAIT_SHARE else USUAL_WAIT_SHARE

    private companion object {
        /** Share of the memory that requests may occupy; the rest absorbs requests that other hosts send meanwhile. */
        const val MEMORY_SHARE = 0.92

        /** Maximum wait in an engine's queue, as a share of the target latency; prefill ahead may take long. */
        const val USUAL_WAIT_SHARE = 0.25
        const val URGENT_WAIT_SHARE = 0.4

        /** Same for a plain service, whose requests take similar times and need nothing but a slot. */
        const val PLAIN_WAIT_SHARE = 0.5

        /** Maximum queue length per slot; replicas of the users' sheets queue three to four times their slots. */
        const val MAXIMUM_QUEUE_PER_SLOT = 2.0
        const val MAXIMUM_PLAIN_QUEUE_PER_SLOT = 3.0
    }
}
