package org.buckthornwheel.api

import kotlin.time.Duration

/** The processing step at which a request failed; [title] is its name in responses and logs. */
public enum class Step(public val title: String) {
    AUTHENTICATE("authenticate"),
    READ_REQUEST("read-request"),
    ADMIT("admit"),
    ROUTE("route"),
    CLAIM("claim"),
    FORWARD("forward"),
    DISPATCH("dispatch"),
    READ_ANSWER("read-answer"),
    PLATFORM("platform"),
}

/** The cause of a failed request; [title] is its name in responses and logs. */
public enum class FailureCause(public val title: String) {
    INVALID_REQUEST("invalid-request"),
    UNAUTHENTICATED("unauthenticated"),
    NOT_FOUND("not-found"),
    TOO_LARGE("too-large"),
    CONFLICT("conflict"),
    RATE_LIMITED("rate-limited"),
    OVERLOADED("overloaded"),
    NO_PERMITTED_TARGET("no-permitted-target"),
    DEADLINE_EXCEEDED("deadline-exceeded"),
    UNREACHABLE("unreachable"),
    BROKEN_ANSWER("broken-answer"),
    UNAVAILABLE("unavailable"),
    INTERNAL("internal"),
}

/**
 * The failure of a request.
 *
 * @property step the processing step at which the request failed.
 * @property peer the host, target or service that was being called; null if none was involved.
 * @property cause the cause of the failure, which determines the status code.
 * @property detail one sentence for the caller, which must not contain a prompt or a key.
 * @property outcome whether the request was executed.
 * @property retryAfter the delay after which the caller should retry; null if waiting does not help.
 */
public data class GatewayFailure(
    public val step: Step,
    public val peer: String?,
    public val cause: FailureCause,
    public val detail: String,
    public val outcome: Outcome,
    public val retryAfter: Duration? = null,
)
