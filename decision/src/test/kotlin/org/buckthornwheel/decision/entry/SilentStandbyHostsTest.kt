package org.buckthornwheel.decision.entry

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isNotEmpty
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class SilentStandbyHostsTest {
    private val now = MonotonicInstant(0) + 100.seconds
    private val hosts = listOf("north", "south").flatMap { region ->
        List(HOSTS_OF_A_REGION) { host("$region-$it", region) }
    }

    private fun host(name: String, region: String) = EntryHostProfile(
        HostName(name),
        Incarnation(1),
        ZoneName("$region-a"),
        RegionName(region),
        NetworkAddress("10.0.0.1", 80),
        NetworkAddress("10.0.0.1", 81),
        cores = 1.0,
    )

    /** What [self] knows while all hosts are ready and registered. */
    private fun known(self: EntryHostProfile) = KnownEntryHosts(self).also { known ->
        hosts.forEach { known.addRegistered(it) }
        hosts.forEach { known.recordHeartbeat(it, isReady = true, 250.milliseconds, now) }
    }

    // Standby hosts of other regions never said which changes they knew, so that none was known everywhere.
    @Test
    fun `each host that a primary host waits for reports the changes that it knows`() {
        val primary = hosts.first()
        val awaited = known(primary).possiblyAlive(now)
        expectThat(awaited).isNotEmpty()
        val silent = awaited.filter { other -> primary !in known(other).heartbeatIntervals(busy = true, now) }
        expectThat(silent.map { it.name }).isEmpty()
    }

    private companion object {
        const val HOSTS_OF_A_REGION = 6
    }
}
