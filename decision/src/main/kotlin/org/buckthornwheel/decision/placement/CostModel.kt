package org.buckthornwheel.decision.placement

import org.buckthornwheel.decision.replica.ReplicaSnapshot

/**
 * Predicts when a replica's answer begins.
 *
 * The figures of engines come from the users' sheets: prompt tokens read in a millisecond, time to the first token of
 * an idle engine, bytes of a token over the engines' link. Times in milliseconds.
 *
 * @property detourMilliseconds wait at the replica that keeps a prompt that is preferred to moving the prompt: half a
 *   gigabyte goes over the engines' link, and pushes other prompts out of the memory at its end.
 * @property displacedMilliseconds time that a less urgent request loses when more urgent ones displace it from an
 *   engine with more requests than slots: its prompt is read again, and it waits for a slot once more.
 */
public data class CostModel(
    public val prefillTokensPerMillisecond: Double = 112.0,
    public val firstTokenMilliseconds: Double = 31.0,
    public val defaultServiceMilliseconds: Double = 300.0,
    public val fetchSetupMilliseconds: Double = 10.0,
    public val fetchedTokensPerMillisecond: Double = 2_000.0,
    public val detourMilliseconds: Double = 80.0,
    public val displacedMilliseconds: Double = 1_000.0,
) {
    /** The time until an answer begins at the replica of [snapshot], with [missingTokens] of the prompt to be read. */
    internal fun beginMilliseconds(snapshot: ReplicaSnapshot, missingTokens: Int): Double {
        val service = snapshot.averageMilliseconds(defaultServiceMilliseconds)
        val slots = maxOf(1, snapshot.replica.slots)
        val excess = maxOf(0, snapshot.load.requests + 1 - slots)
        val wait = excess * service / slots
        if (snapshot.tokenCapacity <= 0) return (service + wait) * maxOf(1.0, snapshot.slowness)
        val prefill = (snapshot.load.prefillTokens + missingTokens) / prefillTokensPerMillisecond
        return (firstTokenMilliseconds + wait + prefill) * maxOf(1.0, snapshot.slowness)
    }

    /** The time that a less urgent request is expected to lose to more urgent ones at the replica of [snapshot]. */
    internal fun displacementMilliseconds(snapshot: ReplicaSnapshot, isUrgent: Boolean): Double {
        if (isUrgent || snapshot.tokenCapacity <= 0) return 0.0
        val slots = maxOf(1, snapshot.replica.slots)
        val beyond = maxOf(0, snapshot.load.requests + 1 - slots)
        return displacedMilliseconds * beyond / slots
    }

    /** The time that a replica takes to fetch [tokens] from another one. */
    internal fun fetchMilliseconds(tokens: Int): Double = fetchSetupMilliseconds + tokens / fetchedTokensPerMillisecond

    /** The time from the request's arrival until a slot of the replica becomes free. */
    internal fun slotWaitMilliseconds(snapshot: ReplicaSnapshot): Double =
        snapshot.averageMilliseconds(defaultServiceMilliseconds) / maxOf(1, snapshot.replica.slots)
}
