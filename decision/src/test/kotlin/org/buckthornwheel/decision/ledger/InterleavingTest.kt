package org.buckthornwheel.decision.ledger

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan

class InterleavingTest {
    @Nested
    inner class `given seeded schedules of retries, lost messages, pauses, outages, crashes, joins and clean stops` {
        @Test
        fun `no action takes effect twice and no action that was reported as not-run takes effect`() {
            val zones = (0 until SCHEDULES).map { seed -> seed to SimulatedZone(seed).apply { run() } }
            expectThat(zones.flatMap { (seed, zone) -> zone.violations.map { "seed $seed: $it" } }).isEmpty()
            expectThat(zones.sumOf { it.second.effects.size }).isGreaterThan(SCHEDULES)
            expectThat(zones.sumOf { it.second.promisedRuns }).isGreaterThan(SCHEDULES / 4)
        }
    }

    private companion object {
        const val SCHEDULES = 2_000
    }
}
