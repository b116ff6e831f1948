package org.buckthornwheel.decision.replica

/**
 * Work at a replica, as one host counts its own share of it.
 *
 * @property requests requests that are in flight.
 * @property tokens prompt and output tokens that these may hold in the replica's memory.
 * @property prefillTokens prompt tokens of requests without a first event, which still have to be read.
 */
public data class ReplicaLoad(public val requests: Int, public val tokens: Long, public val prefillTokens: Long) {
    /** Both loads together. */
    public operator fun plus(other: ReplicaLoad): ReplicaLoad =
        ReplicaLoad(requests + other.requests, tokens + other.tokens, prefillTokens + other.prefillTokens)

    /** Fixed loads. */
    public companion object {
        /** No work at all. */
        public val NONE: ReplicaLoad = ReplicaLoad(0, 0, 0)
    }
}
