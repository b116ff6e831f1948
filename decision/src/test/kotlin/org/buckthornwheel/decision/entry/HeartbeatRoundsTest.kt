package org.buckthornwheel.decision.entry

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class HeartbeatRoundsTest {
    private val rounds = HeartbeatRounds(250.milliseconds)

    private fun sentOf(count: Int, isBusy: Boolean): Int = (1..count).count { rounds.begin(isBusy) }

    private fun host(name: String) = EntryHost(
        HostName(name),
        Incarnation(1),
        ZoneName("north-a"),
        RegionName("north"),
        NetworkAddress("10.0.0.1", 80),
        NetworkAddress("10.0.0.1", 81),
        cores = 1.0,
    )

    @Test
    fun `the first round is sent, so that a new host is known at once`() {
        rounds.standsBy(true)
        expectThat(rounds.begin(isBusy = false)).isTrue()
    }

    @Test
    fun `a host that carries callers sends in every round`() {
        expectThat(sentOf(8, isBusy = false)).isEqualTo(8)
    }

    @Test
    fun `a host that stands by sends in one of four rounds`() {
        rounds.standsBy(true)
        expectThat(sentOf(40, isBusy = false)).isEqualTo(10)
    }

    @Test
    fun `a host that stands by sends in every round while it has requests`() {
        rounds.standsBy(true)
        expectThat(sentOf(8, isBusy = true)).isEqualTo(8)
    }

    @Test
    fun `a host that stands by tells all that it tells in the same round`() {
        rounds.standsBy(true)
        rounds.begin(isBusy = false)
        expectThat(listOf("a", "b", "c", "d").all { rounds.isDue(host(it), 1.seconds) }).isTrue()
    }

    @Test
    fun `what is due each second is due in one of four rounds`() {
        val due = (1..40).count {
            rounds.begin(isBusy = false)
            rounds.isDue(host("a"), 1.seconds)
        }
        expectThat(due).isEqualTo(10)
    }
}
