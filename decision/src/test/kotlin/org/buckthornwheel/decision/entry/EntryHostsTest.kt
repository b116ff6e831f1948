package org.buckthornwheel.decision.entry

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class EntryHostsTest {
    private val now = MonotonicInstant(0) + 100.seconds
    private val self = host("self", "north")
    private val hosts = EntryHosts(self)

    private fun host(name: String, region: String, incarnation: Long = 1) = EntryHost(
        HostName(name),
        Incarnation(incarnation),
        ZoneName("$region-a"),
        RegionName(region),
        NetworkAddress("10.0.0.1", 80),
        NetworkAddress("10.0.0.1", 81),
    )

    private fun names(zone: String, region: String, homes: Set<RegionName> = emptySet(), selfReady: Boolean = true) =
        hosts.directory(ZoneName(zone), RegionName(region), homes, selfReady, now).map { it.name.value }

    @Test
    fun `a listed host is named only after it was heard`() {
        hosts.listed(host("peer", "north"))
        expectThat(names("north-a", "north")).containsExactly("self")
        expectThat(hosts.heard(host("peer", "north"), isReady = true, now)).isTrue()
        expectThat(hosts.heard(host("peer", "north"), isReady = true, now)).isFalse()
        expectThat(names("north-a", "north").toSet()).isEqualTo(setOf("self", "peer"))
    }

    @Test
    fun `a silent or unready host is not named`() {
        hosts.heard(host("silent", "north"), isReady = true, now - 3_000.milliseconds)
        hosts.heard(host("leaving", "north"), isReady = false, now)
        expectThat(names("north-a", "north")).containsExactly("self")
    }

    @Test
    fun `callers of another zone get their own hosts and else those of a home region`() {
        hosts.heard(host("south", "south"), isReady = true, now)
        expectThat(names("south-a", "south")).containsExactly("south")
        expectThat(names("west-a", "west", homes = setOf(RegionName("south")))).containsExactly("south")
        expectThat(names("west-a", "west")).containsExactly("self")
    }

    @Test
    fun `a host that is not ready names others, or nobody`() {
        expectThat(names("north-a", "north", selfReady = false)).isEmpty()
        hosts.heard(host("south", "south"), isReady = true, now)
        expectThat(names("north-a", "north", selfReady = false)).containsExactly("south")
    }

    @Test
    fun `an earlier incarnation does not replace a later one`() {
        hosts.heard(host("peer", "north", incarnation = 2), isReady = true, now)
        hosts.heard(host("peer", "north", incarnation = 1), isReady = false, now)
        expectThat(hosts.ready(now).map { it.incarnation.value }).containsExactly(2)
    }

    @Test
    fun `budgets are shared with hosts that are listed or fell silent lately`() {
        hosts.listed(host("listed", "north"))
        hosts.heard(host("silent", "north"), isReady = true, now - 8_000.milliseconds)
        hosts.heard(host("south", "south"), isReady = true, now)
        expectThat(hosts.sharers(now, RegionName("north"))).isEqualTo(3)
        expectThat(hosts.sharers(now, region = null)).isEqualTo(4)
        hosts.unlisted(HostName("listed"))
        expectThat(hosts.sharers(now, RegionName("north"))).isEqualTo(2)
    }

    private operator fun MonotonicInstant.minus(duration: kotlin.time.Duration) = this + (-duration)
}
