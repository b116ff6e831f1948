package org.buckthornwheel.decision.placement

import org.buckthornwheel.decision.replica.ReplicaSnapshot

/**
 * Predicts the time until a replica's response starts.
 *
 * The figures of engines come from the users' sheets: prompt tokens prefilled per millisecond, time to the first token
 * of an idle engine, and bytes per token on the link between engines.
 *
 * @property fetchPenaltyMilliseconds longer wait at the cache holder of a prompt that is accepted to avoid fetching the
 *   prompt: a fetch sends half a gigabyte over the link between engines and evicts other prompts from the memory of the
 *   fetching engine.
 * @property preemptionLossMilliseconds time that a less urgent request loses when more urgent ones preempt it on an
 *   engine with more requests than slots: its prompt is prefilled again, and it waits for a slot once more.
 */
public data class CostModel(
    public val prefillTokensPerMillisecond: Double = 112.0,
    public val firstTokenMilliseconds: Double = 31.0,
    public val defaultServiceMilliseconds: Double = 300.0,
    public val fetchSetupMilliseconds: Double = 10.0,
    public val fetchedTokensPerMillisecond: Double = 2_000.0,
    public val fetchPenaltyMilliseconds: Double = 80.0,
    public val preemptionLossMilliseconds: Double = 1_000.0,
) {
    /** The time until the response of the replica of [snapshot] starts if it has to prefill [missingTokens] tokens. */
    internal fun responseStartMilliseconds(snapshot: ReplicaSnapshot, missingTokens: Int): Double {
        val service = snapshot.averageServiceMilliseconds(defaultServiceMilliseconds)
        val slots = maxOf(1, snapshot.replica.slots)
        val excess = maxOf(0, snapshot.load.requests + 1 - slots)
        val wait = excess * service / slots
        if (snapshot.tokenCapacity <= 0) return (service + wait) * maxOf(1.0, snapshot.slowness)
        val prefill = (snapshot.load.prefillTokens + missingTokens) / prefillTokensPerMillisecond
        return (firstTokenMilliseconds + wait + prefill) * maxOf(1.0, snapshot.slowness)
    }

    /** The time that a less urgent request is expected to lose by preemption at the replica of [snapshot]. */
    internal fun preemptionMilliseconds(snapshot: ReplicaSnapshot, isUrgent: Boolean): Double {
        if (isUrgent || snapshot.tokenCapacity <= 0) return 0.0
        val slots = maxOf(1, snapshot.replica.slots)
        val excess = maxOf(0, snapshot.load.requests + 1 - slots)
        return preemptionLossMilliseconds * excess / slots
    }

    /** The time that a replica needs to fetch [tokens] cached tokens from another one. */
    internal fun fetchMilliseconds(tokens: Int): Double = fetchSetupMilliseconds + tokens / fetchedTokensPerMillisecond

    /** The expected time until a slot of the replica becomes free. */
    internal fun slotWaitMilliseconds(snapshot: ReplicaSnapshot): Double =
        snapshot.averageServiceMilliseconds(defaultServiceMilliseconds) / maxOf(1, snapshot.replica.slots)
}
