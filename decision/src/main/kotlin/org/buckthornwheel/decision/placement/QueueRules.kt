package org.buckthornwheel.decision.placement

import org.buckthornwheel.decision.replica.ReplicaSnapshot
import kotlin.time.DurationUnit

/**
 * Bounds how many requests a replica may have at once, those in its own queue included.
 *
 * Answers the load in which a service has lost replicas and the rest is far away: with no request waiting at a replica,
 * its slots stand idle while the next one is on its way. A queue keeps them busy; it may only be so long that a request
 * at its end still begins well inside the target latency. Urgent requests may join a longer queue, so that the others
 * are turned away first.
 */
internal class QueueRules(private val costs: CostModel) {
    /** Whether the replica of [snapshot] may get [request]. */
    fun hasRoom(snapshot: ReplicaSnapshot, request: PlacementRequest): Boolean {
        if (snapshot.load.requests >= snapshot.replica.slots + queue(snapshot, request)) return false
        if (snapshot.tokenCapacity <= 0 || snapshot.load.requests == 0) return true
        val needed = request.promptTokens + request.outputTokens
        return snapshot.load.tokens + needed <= snapshot.tokenCapacity * MEMORY_SHARE
    }

    private fun queue(snapshot: ReplicaSnapshot, request: PlacementRequest): Int {
        val isPlain = snapshot.tokenCapacity <= 0
        val waitShare = if (isPlain) PLAIN_WAIT else engineWaitShare(request)
        val longestWait = request.targetLatency.toDouble(DurationUnit.MILLISECONDS) * waitShare
        val places = (longestWait / maxOf(1.0, costs.slotWaitMilliseconds(snapshot))).toInt()
        val longestQueue = if (isPlain) LONGEST_PLAIN_QUEUE else LONGEST_QUEUE
        return minOf(places, (snapshot.replica.slots * longestQueue).toInt())
    }

    private fun engineWaitShare(request: PlacementRequest): Double = if (request.isUrgent) URGENT_WAIT else USUAL_WAIT

    private companion object {
        /** Share of a replica's memory that requests may fill; the rest absorbs what other hosts send meanwhile. */
        const val MEMORY_SHARE = 0.92

        /** Wait in an engine's queue, as a share of the target latency; prompts ahead may take long to read. */
        const val USUAL_WAIT = 0.25
        const val URGENT_WAIT = 0.4

        /** The same at a plain service, whose requests take about as long each and need no more than a slot. */
        const val PLAIN_WAIT = 0.5

        /** Longest queue as a share of the slots; replicas of the users' sheets queue three to four times as many. */
        const val LONGEST_QUEUE = 2.0
        const val LONGEST_PLAIN_QUEUE = 3.0
    }
}
