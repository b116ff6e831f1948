/*
 * What is known of a request that waits for a place, and its position in the queue.
 */

package org.buckthornwheel.decision.waiting

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration

/**
 * Properties of a request on which its order among waiting requests depends.
 *
 * @property rank priority that the manifest gives; 0 is the most urgent.
 * @property account the account among which places are divided; null for requests without one, which form one group.
 * @property tokens prompt and output tokens; 0 if the service is not an engine.
 * @property bytes memory that the request takes while it waits.
 * @property target time from the arrival within which the response should start.
 * @property deadline when the caller no longer waits for the response.
 * @property waitsUntil when the request stops waiting, whatever it could still keep: a request of another region
 *   returns there, where it may be served sooner.
 */
public data class WaitingRequest(
    public val rank: Int,
    public val account: AccountName?,
    public val scope: ServingScope,
    public val tokens: Long,
    public val bytes: Long,
    public val arrivedAt: MonotonicInstant,
    public val target: Duration,
    public val deadline: MonotonicInstant,
    public val waitsUntil: MonotonicInstant,
) {
    /** Work by which places are divided among accounts: tokens, or requests if the service is not an engine. */
    internal val work: Long get() = maxOf(1, tokens)

    /** Requests with less than half of the tokens may fit where a larger one does not. */
    internal fun isMuchSmallerThan(other: WaitingRequest): Boolean = tokens * 2 < other.tokens
}

/**
 * The position of one [request] in the queue; [owner] is woken when it is its turn.
 *
 * @property onTimeUntil latest start with which its target can be kept.
 * @property lateUntil latest start with which its time limit can be kept.
 * @property enteredAt when it entered the queue.
 * @property predicted wait that was predicted when it entered; null if none could be.
 */
public class WaitingTicket<T> internal constructor(
    public val request: WaitingRequest,
    public val owner: T,
    internal val onTimeUntil: MonotonicInstant,
    internal val lateUntil: MonotonicInstant,
    public val enteredAt: MonotonicInstant,
    public val predicted: Duration?,
)
