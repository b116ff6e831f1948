/*
 * Results of waiting: what a request that asks to wait is told, and why it does not wait or no longer waits.
 */

package org.buckthornwheel.decision.waiting

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Why a request does not wait; [text] is its name in logs. */
public enum class WaitingRejectionReason(public val text: String) {
    /** It is predicted to start too late. */
    PREDICTED_TOO_LATE("predicted to start too late"),

    /** Even a start at once would be too late. */
    TIME_USED_UP("no time left"),

    /** More urgent requests, or as urgent ones that came earlier, fill the queue. */
    QUEUE_FULL("waiting queue full"),
}

/**
 * The rejection of a request that has not run.
 *
 * @property predicted predicted wait; null if the pace is not known, infinite if no places have opened.
 * @property requestsAhead number of requests that would have started before it.
 * @property workAhead work of these requests.
 * @property age time since a place was last taken; null if none was.
 * @property retryAfter time after which the backlog ahead of the caller is expected to be done; null if unknown.
 */
public data class WaitingRejection(
    public val reason: WaitingRejectionReason,
    public val predicted: Duration?,
    public val requestsAhead: Int,
    public val workAhead: Long,
    public val age: Duration?,
    public val retryAfter: Duration?,
)

/** A [ticket] that was removed without a start, and why. */
public class RemovedTicket<T> internal constructor(
    public val ticket: WaitingTicket<T>,
    public val rejection: WaitingRejection,
)

/** Whether a request waits. */
public sealed interface EntryResult<T> {
    /** The request waits with [ticket]; [displaced] is a less urgent one that had to leave for it. */
    public class Waiting<T> internal constructor(
        public val ticket: WaitingTicket<T>,
        public val displaced: RemovedTicket<T>?,
    ) : EntryResult<T>

    /** The request does not wait. */
    public class Rejected<T> internal constructor(public val rejection: WaitingRejection) : EntryResult<T>
}

/**
 * Bounds of the queue of one service at one host.
 *
 * @property maximumRequests requests that may wait.
 * @property maximumBytes bytes that waiting requests may occupy.
 * @property longestOffer time after which a new round does not wait for the answer of the request that was woken.
 */
public data class WaitingLimits(
    public val maximumRequests: Int = 512,
    public val maximumBytes: Long = 8_388_608,
    public val longestOffer: Duration = 100.milliseconds,
) {
    init {
        require(maximumRequests > 0) { "maximumRequests is $maximumRequests; allowed: 1 or more" }
        require(maximumBytes > 0) { "maximumBytes is $maximumBytes; allowed: 1 or more" }
    }
}
