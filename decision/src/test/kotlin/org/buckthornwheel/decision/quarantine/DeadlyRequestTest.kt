package org.buckthornwheel.decision.quarantine

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.replica.ReplicaId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Whole requests that crash replicas, although other requests with the same parts are sound. */
internal class DeadlyRequestTest {
    private val start = MonotonicInstant(0) + 100.seconds
    private val quarantine = PromptPartQuarantine()
    private val deadly = RequestIdentity.of(listOf("host", "POST", "/x"), listOf("deadly".encodeToByteArray()))
    private val sound = RequestIdentity.of(listOf("host", "POST", "/x"), listOf("sound".encodeToByteArray()))

    private fun run(number: Int) = ReplicaRun(ReplicaId("r$number"), startedAt = 7)

    private fun crash(number: Int, at: Duration, vararg requests: String, on: PromptPartQuarantine = quarantine) {
        requests.forEach { on.recordLoss(run(number), listOf("shared"), isCertain = true, start + at, it) }
        on.recordRefusal(run(number), start + at + 50.milliseconds)
    }

    private fun update(at: Duration): List<String> = quarantine.update(start + at) { true }.map { it.part }

    private fun admit(at: Duration, suspect: String): QuarantineAdmission =
        quarantine.admit(listOf("shared", suspect), start + at) { false }

    @Nested
    inner class `given three crashes under one request` {
        @Test
        fun `it is rejected at once, and its shared part is not blamed`() {
            (1..3).forEach { crash(it, it.seconds, deadly, sound) }
            quarantine.recordCompletion(emptyList(), start + 3.seconds, sound)
            expectThat(update(3.1.seconds)).containsExactly(deadly)
            expectThat(update(5.seconds)).isEmpty()
            expectThat(admit(5.seconds, deadly)).isA<QuarantineAdmission.Rejected>()
            expectThat(admit(5.seconds, sound)).isEqualTo(QuarantineAdmission.Admitted)
        }

        @Test
        fun `a part of three such requests is blamed`() {
            val others = listOf("a", "b", "c").map { RequestIdentity.of(listOf(it), emptyList()) }
            for ((index, request) in others.withIndex()) {
                (1..3).forEach { crash(index * 3 + it, it.seconds, request) }
            }
            expectThat(update(5.seconds)).containsExactlyInAnyOrder(others + "shared")
        }

        @Test
        fun `a completed attempt releases it`() {
            (1..3).forEach { crash(it, it.seconds, deadly) }
            update(4.seconds)
            quarantine.recordCompletion(listOf("shared"), start + 20.seconds, deadly)
            update(21.seconds)
            expectThat(admit(21.seconds, deadly)).isEqualTo(QuarantineAdmission.Admitted)
        }

        @Test
        fun `another host learns of it, and of crashes that it did not see`() {
            val other = PromptPartQuarantine()
            crash(1, 1.seconds, deadly)
            crash(2, 2.seconds, deadly)
            other.merge(quarantine.report(start + 2.2.seconds), start + 2.3.seconds)
            expectThat(other.delay(deadly)).isGreaterThan(Duration.ZERO)
            crash(3, 2.5.seconds, deadly, on = other)
            val found = other.update(start + 2.6.seconds) { true }
            expectThat(found.map { it.part }).containsExactly(deadly)
            quarantine.merge(other.report(start + 2.7.seconds), start + 2.8.seconds)
            expectThat(admit(3.seconds, deadly)).isA<QuarantineAdmission.Rejected>()
        }
    }

    @Test
    fun `a request in two crashes is not repeated by the host, others are`() {
        crash(1, 1.seconds, deadly, sound)
        quarantine.recordCompletion(emptyList(), start + 1.5.seconds, sound)
        crash(2, 2.seconds, deadly)
        expectThat(quarantine.mayRetry(emptyList(), deadly)).isFalse()
        expectThat(quarantine.mayRetry(emptyList(), sound)).isTrue()
        expectThat(quarantine.delay(sound)).isEqualTo(Duration.ZERO)
    }

    /** Guards against a sound part that is quarantined and released again and again. */
    @Test
    fun `a part that was blamed by mistake is not blamed again soon`() {
        (1..3).forEach { crash(it, it.seconds) }
        (1..3).forEach { quarantine.recordLoss(run(it), listOf("shared"), isCertain = true, start + it.seconds) }
        expectThat(update(4.5.seconds)).containsExactly("shared")
        quarantine.recordCompletion(listOf("shared"), start + 5.seconds)
        update(5.1.seconds)
        (4..6).forEach { quarantine.recordLoss(run(it), listOf("shared"), isCertain = true, start + (it + 8).seconds) }
        (4..6).forEach { quarantine.recordRefusal(run(it), start + (it + 8).seconds) }
        expectThat(update(16.seconds)).isEmpty()
    }

    @Test
    fun `requests that differ in target or content have different identities`() {
        expectThat(deadly).isNotEqualTo(sound)
        val joined = RequestIdentity.of(listOf("host", "a"), listOf("b".encodeToByteArray()))
        expectThat(RequestIdentity.of(listOf("host", "ab"), listOf(ByteArray(0)))).isNotEqualTo(joined)
    }

    @Nested
    inner class `given eight hosts and callers that repeat their requests` {
        /** The users' bound on requests with a part that crashes replicas, applied to a single request. */
        @Test
        fun `few attempts of a request reach replicas after its third crash`() {
            val after = SIMULATIONS.flatMap { it.wholeRequests }.filter { it.crashes.size >= THIRD }
                .map { whole -> whole.received.count { it > whole.crashes[THIRD - 1] } }
            expectThat(after.size).isGreaterThan(SEEDS)
            expectThat(after.max()).isLessThanOrEqualTo(MAXIMUM_AFTER)
        }

        /** The users ask that more than half of the sound requests begin at the first attempt. */
        @Test
        fun `more than half of the sound requests are never rejected`() {
            for (simulation in SIMULATIONS) {
                val sound = simulation.wholeRequests.filterNot { it.isDeadly }
                expectThat(sound.count { it.rejectedAt.isEmpty() }).isGreaterThan(sound.size / 2)
            }
        }
    }

    private companion object {
        val SHARES = listOf(0.01, 0.03, 0.1)
        const val SEEDS = 50
        const val THIRD = 3
        const val MAXIMUM_AFTER = 3
        val SIMULATIONS by lazy {
            SHARES.flatMap { share ->
                (1..SEEDS).map { QuarantineSimulation(it, 0.0, deadlyRequests = share).run(30.seconds) }
            }
        }
    }
}
