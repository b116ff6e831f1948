package org.buckthornwheel.decision.attempt

import org.buckthornwheel.api.GatewayFailure
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.Outcome

/**
 * Decides whether a failed attempt is followed by another one.
 *
 * A request is sent again only if it is idempotent or was certainly not run, and only within the host's [budget].
 */
public class RetryPolicy(private val maximumAttempts: Int, private val budget: RetryBudget) {
    /** Records the first attempt of a request. */
    public fun recordFirstAttempt(): Unit = budget.deposit()

    /** Whether a request whose attempt number [attempts] ended in [failure] may be sent once more at [now]. */
    public fun allows(
        attempts: Int,
        idempotent: Boolean,
        failure: GatewayFailure,
        now: MonotonicInstant,
        deadline: MonotonicInstant,
    ): Boolean {
        if (attempts >= maximumAttempts || now >= deadline) return false
        if (!idempotent && failure.outcome != Outcome.NOT_RUN) return false
        return budget.tryWithdraw()
    }
}
