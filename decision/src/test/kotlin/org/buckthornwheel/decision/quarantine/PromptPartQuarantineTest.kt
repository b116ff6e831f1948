package org.buckthornwheel.decision.quarantine

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.replica.ReplicaId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

internal class PromptPartQuarantineTest {
    private val start = MonotonicInstant(0) + 100.seconds
    private val quarantine = PromptPartQuarantine()

    private fun run(number: Int) = ReplicaRun(ReplicaId("r$number"), startedAt = 7)

    /** The crash of replica [number] after [delay], with one request of each of the prompts in progress. */
    private fun crash(number: Int, delay: Duration, vararg prompts: List<String>) {
        prompts.forEach { quarantine.recordLoss(run(number), it, isCertain = true, start + delay) }
        quarantine.recordRefusal(run(number), start + delay + 100.milliseconds)
    }

    private fun update(delay: Duration): List<String> =
        quarantine.update(start + delay) { true }.filterIsInstance<QuarantineChange.Quarantined>().map { it.part }

    private fun admit(delay: Duration, vararg parts: String, mayProbe: Boolean = false): QuarantineAdmission =
        quarantine.admit(parts.toList(), start + delay) { mayProbe }

    private fun crashThreeTimes() {
        (1..3).forEach { crash(it, it.seconds, listOf("shared", "deadly")) }
        quarantine.update(start + 5.seconds) { true }
    }

    @Nested
    inner class `given three crashes` {
        @Test
        fun `the later one of two parts that were never completed is quarantined`() {
            (1..3).forEach { crash(it, it.seconds, listOf("shared", "deadly")) }
            expectThat(update(5.seconds)).containsExactly("deadly")
            expectThat(admit(6.seconds, "shared", "deadly")).isA<QuarantineAdmission.Rejected>()
            expectThat(admit(6.seconds, "shared", "draft")).isEqualTo(QuarantineAdmission.Admitted)
        }

        @Test
        fun `a part that was completed long before is less suspect than one that never was`() {
            quarantine.recordCompletion(listOf("sound"), start)
            (1..3).forEach { crash(it, 10.seconds + it.seconds, listOf("deadly", "sound")) }
            expectThat(update(15.seconds)).containsExactly("deadly")
        }

        @Test
        fun `a part that is completed meanwhile is not quarantined`() {
            (1..3).forEach { crash(it, it.seconds, listOf("shared")) }
            quarantine.recordCompletion(listOf("shared"), start + 4.seconds)
            expectThat(update(5.seconds)).isEmpty()
        }

        @Test
        fun `a part that loses single connections is not quarantined`() {
            (1..3).forEach { quarantine.recordLoss(run(it), listOf("part"), isCertain = true, start + it.seconds) }
            expectThat(update(5.seconds)).isEmpty()
        }

        @Test
        fun `a single lost connection confirms a crash once the replica is no longer registered`() {
            (1..3).forEach { quarantine.recordLoss(run(it), listOf("part"), isCertain = true, start + it.seconds) }
            val changes = quarantine.update(start + 5.seconds) { false }
            expectThat(changes.map { it.part }).containsExactly("part")
        }

        @Test
        fun `responses that end with their connection confirm no crash`() {
            for (number in 1..3) {
                repeat(5) {
                    quarantine.recordLoss(run(number), listOf("part"), isCertain = false, start + number.seconds)
                }
            }
            expectThat(update(5.seconds)).isEmpty()
        }

        @Test
        fun `several crashes of one run count once`() {
            repeat(3) { crash(1, it.seconds, listOf("part")) }
            expectThat(update(5.seconds)).isEmpty()
        }
    }

    @Nested
    inner class `given two crashes` {
        @Test
        fun `lost requests with the part are not retried`() {
            crash(1, 1.seconds, listOf("shared", "deadly"))
            expectThat(quarantine.mayRetry(listOf("shared", "deadly"))).isTrue()
            crash(2, 2.seconds, listOf("shared", "deadly"))
            expectThat(quarantine.mayRetry(listOf("shared", "deadly"))).isFalse()
        }
    }

    @Nested
    inner class `given a quarantined part` {
        @Test
        fun `one host sends one probe after a while, and a second one later`() {
            crashThreeTimes()
            expectThat(admit(10.seconds, "deadly", mayProbe = true)).isA<QuarantineAdmission.Rejected>()
            expectThat(admit(21.seconds, "deadly", mayProbe = false)).isA<QuarantineAdmission.Rejected>()
            expectThat(admit(21.seconds, "deadly", mayProbe = true)).isEqualTo(QuarantineAdmission.Probe("deadly"))
            quarantine.recordProbe("deadly", start + 21.seconds)
            expectThat(admit(22.seconds, "deadly", mayProbe = true)).isA<QuarantineAdmission.Rejected>()
            quarantine.recordProbe("deadly", start + 90.seconds)
            expectThat(admit(5.minutes, "deadly", mayProbe = true)).isA<QuarantineAdmission.Rejected>()
        }

        @Test
        fun `a completed probe releases it, also at a host that still reports it`() {
            crashThreeTimes()
            val old = quarantine.report(start + 20.seconds)
            quarantine.recordProbe("deadly", start + 21.seconds)
            quarantine.recordCompletion(listOf("deadly"), start + 22.seconds)
            quarantine.update(start + 23.seconds) { true }
            quarantine.merge(old, start + 24.seconds)
            expectThat(admit(25.seconds, "deadly")).isEqualTo(QuarantineAdmission.Admitted)
        }

        @Test
        fun `it is forgotten after ten minutes without requests`() {
            crashThreeTimes()
            quarantine.update(start + 16.minutes) { true }
            expectThat(admit(16.minutes, "deadly")).isEqualTo(QuarantineAdmission.Admitted)
        }
    }

    @Nested
    inner class `given eight hosts that each see a part of the crashes` {
        private val simulations = SHARES.flatMap { share ->
            (1..SEEDS).map { QuarantineSimulation(it, share).run(40.seconds) }
        }

        private fun bound(simulation: QuarantineSimulation) = simulation.crashes[FIFTH] + CONTACT_TIME

        @Test
        fun `at most three requests with the part are sent after the fifth crash and the contact time`() {
            val sent = simulations.filter { it.crashes.size > FIFTH }
                .map { simulation -> simulation.deadlyReceived.count { it > bound(simulation) } }
            expectThat(sent.filter { it > MAXIMUM_AFTER_BOUND }).isEmpty()
        }

        @Test
        fun `more than half of the sound requests are sent`() {
            val (sent, rejected) = simulations.sumOf { it.soundSent.size } to
                simulations.sumOf { it.soundRejected.size }
            expectThat(simulations.filter { it.soundRejected.size > it.soundSent.size }).isEmpty()
            expectThat(sent).isGreaterThan(rejected)
        }
    }

    private companion object {
        val SHARES = listOf(0.02, 0.05, 0.2, 0.5)
        const val SEEDS = 50

        /** The users' bound: three requests after the fifth crash and the contact time. */
        const val FIFTH = 4
        const val MAXIMUM_AFTER_BOUND = 3
        val CONTACT_TIME = 5.seconds
    }
}
