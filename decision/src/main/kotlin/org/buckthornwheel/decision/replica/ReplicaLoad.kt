package org.buckthornwheel.decision.replica

/**
 * Load that the requests of one host or of several hosts put on a replica.
 *
 * @property requests number of requests in flight.
 * @property tokens prompt and output tokens that these requests may occupy in the replica's memory.
 * @property prefillTokens prompt tokens still to be prefilled: those of requests without a first event.
 */
public data class ReplicaLoad(public val requests: Int, public val tokens: Long, public val prefillTokens: Long) {
    /** The sum of both loads. */
    public operator fun plus(other: ReplicaLoad): ReplicaLoad =
        ReplicaLoad(requests + other.requests, tokens + other.tokens, prefillTokens + other.prefillTokens)

    /** Predefined loads. */
    public companion object {
        /** No load. */
        public val NONE: ReplicaLoad = ReplicaLoad(0, 0, 0)
    }
}
