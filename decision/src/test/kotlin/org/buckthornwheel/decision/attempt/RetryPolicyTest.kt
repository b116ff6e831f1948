package org.buckthornwheel.decision.attempt

import org.buckthornwheel.api.FailureCause
import org.buckthornwheel.api.GatewayFailure
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.api.Step
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RetryPolicyTest {
    private val now = MonotonicInstant(0)
    private val deadline = now + 10.seconds
    private val unknown = failure(Outcome.UNKNOWN)
    private val notRun = failure(Outcome.NOT_RUN)

    private fun policy() = RetryPolicy(maximumAttempts = 3, RetryBudget(share = 0.2, capacity = 10.0))

    private fun failure(outcome: Outcome) =
        GatewayFailure(Step.DISPATCH, "engine", FailureCause.BROKEN_ANSWER, "broken", outcome)

    @Nested
    inner class `given a zone in which every request fails` {
        @Test
        fun `retries stay within the budget for any number of requests`() {
            val policy = policy()
            var retries = 0
            repeat(1_000) {
                policy.recordFirstAttempt()
                var attempts = 1
                while (policy.allows(attempts, true, unknown, now, deadline)) {
                    attempts += 1
                    retries += 1
                }
            }
            expectThat(retries).isLessThanOrEqualTo(10 + 200)
        }
    }

    @Nested
    inner class `given a request that is not idempotent` {
        @Test
        fun `it is sent again only if it was certainly not run`() {
            expectThat(policy().allows(1, false, unknown, now, deadline)).isFalse()
            expectThat(policy().allows(1, false, notRun, now, deadline)).isTrue()
        }
    }

    @Nested
    inner class `given a deadline that has passed` {
        @Test
        fun `nothing is sent again`() {
            expectThat(policy().allows(1, true, notRun, deadline, deadline)).isFalse()
        }
    }

    @Nested
    inner class `given many requests that failed at the same time` {
        private val backoff = Backoff(base = 20.milliseconds, maximum = 500.milliseconds)

        @Test
        fun `their backoff pauses differ and stay within the maximum`() {
            val pauses = (1L..50L).map { backoff.pause(attempts = 2, seed = it) }
            expectThat(pauses.toSet()).hasSize(50)
            expectThat(pauses.max()).isLessThanOrEqualTo(40.milliseconds)
            expectThat(
                (1L..50L).maxOf {
                    backoff.pause(attempts = 30, seed = it)
                },
            ).isLessThanOrEqualTo(500.milliseconds)
            expectThat(pauses.min() >= Duration.ZERO).isTrue()
        }
    }
}
