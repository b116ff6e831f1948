package org.buckthornwheel.protocol.caller

/** Names of the HTTP headers exchanged between callers, hosts and targets. */
public object CallerHeaders {
    /** The identifier of the request, set on every response and on every request to a target. */
    public const val REQUEST_ID: String = "Request-Id"

    /** Whether the request was executed, set on every response: `completed`, `not-run` or `unknown`. */
    public const val OUTCOME: String = "Outcome"

    /** The target that served the request. */
    public const val TARGET: String = "Target"

    /** The number of times the request was forwarded between hosts. */
    public const val HOPS: String = "Hops"

    /** The idempotency key that the caller chose for a non-idempotent action. */
    public const val IDEMPOTENCY_KEY: String = "Idempotency-Key"

    /** Milliseconds that the caller is willing to wait for the complete response. */
    public const val DEADLINE: String = "Deadline-Milliseconds"

    /** The number of the caller's attempt; `1` states that the idempotency key was never sent before. */
    public const val ATTEMPT: String = "Attempt"

    /** The signed envelope of a forwarded request. */
    public const val ENVELOPE: String = "Forward-Envelope"

    /** The cause of the failure of a forwarded request, set for the forwarding host. */
    public const val FAILURE_CAUSE: String = "Failure-Cause"
}
