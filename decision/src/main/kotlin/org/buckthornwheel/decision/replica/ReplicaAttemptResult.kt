package org.buckthornwheel.decision.replica

/** Result of an attempt at a replica, as far as it concerns the health of the replica. */
public enum class ReplicaAttemptResult {
    /** The replica sent a complete response. */
    ANSWERED,

    /** The replica rejected the request without running it. */
    REFUSED,

    /** The replica responded with an error of its own. */
    ERROR,

    /** No complete response: connection reset, timeout, or malformed data. */
    BROKEN,

    /** The caller disconnected or the deadline passed, which says nothing about the health of the replica. */
    ABANDONED,
}
