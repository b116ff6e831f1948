package org.buckthornwheel.decision.entry

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty

internal class InquiredHostsTest {
    private fun host(name: String, zone: String, region: String, cores: Double = 1.0) = EntryHostProfile(
        HostName(name),
        Incarnation(1),
        ZoneName(zone),
        RegionName(region),
        NetworkAddress("10.0.0.1", 1),
        NetworkAddress("10.0.0.1", 2),
        cores,
    )

    private val self = host("self", "north-a", "north")

    private fun asked(vararg candidates: EntryHostProfile) =
        InquiredHosts.of(self, candidates.toList()).map { it.name.value }

    @Test
    fun `the nearest hosts come first, two of each distance`() {
        expectThat(
            asked(
                host("far-1", "south-a", "south"),
                host("far-2", "south-a", "south"),
                host("far-3", "east-a", "east"),
                host("near-1", "north-a", "north"),
                host("near-2", "north-a", "north"),
                host("near-3", "north-a", "north"),
                host("region-1", "north-b", "north"),
            ),
        ).containsExactly("near-1", "near-2", "region-1", "far-1", "far-2")
    }

    @Test
    fun `the strongest of hosts at the same distance come first`() {
        expectThat(asked(host("a", "north-a", "north", 0.5), host("b", "north-a", "north", 1.5)))
            .containsExactly("b", "a")
    }

    @Test
    fun `a host does not ask itself`() {
        expectThat(asked(self)).isEmpty()
    }
}
