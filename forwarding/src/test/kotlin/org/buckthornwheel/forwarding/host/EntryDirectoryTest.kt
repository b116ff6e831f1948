/*
 * The hosts that the directory names to callers.
 */

package org.buckthornwheel.forwarding.host

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.entry.EntryHostProfile
import org.buckthornwheel.decision.entry.KnownEntryHosts
import org.buckthornwheel.forwarding.fixture.TestManifest
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class EntryDirectoryTest {
    private var now = MonotonicInstant(0) + 100.seconds
    private var isReady = false
    private val self = profile("gulf-1", "gulf", 1)
    private val neighbour = profile("gulf-2", "gulf", 2)
    private val homeHost = profile("piedmont-1", "piedmont", 3)
    private val farHost = profile("delta-1", "delta", 4)
    private val hosts = KnownEntryHosts(self)
    private val routingState = RoutingState { now }
    private val currency = ManifestCurrency(null, routingState, { now })
    private val directory = EntryDirectory(hosts, routingState, { isReady }, currency) { now }

    private fun profile(name: String, region: String, number: Int) = EntryHostProfile(
        HostName(name),
        Incarnation(1),
        ZoneName("$region-a"),
        RegionName(region),
        callerAddress = NetworkAddress("10.0.0.$number", 80),
        peerAddress = NetworkAddress("10.0.0.$number", 81),
        cores = 0.75,
    )

    private fun hear(vararg heard: EntryHostProfile): Unit =
        heard.forEach { hosts.recordHeartbeat(it, isReady = true, 250.milliseconds, now) }

    private fun learnManifest(vararg homes: String) {
        routingState.updateManifest(TestManifest.of(homeRegions = homes.mapTo(HashSet(), ::RegionName)))
    }

    private fun named(region: String = "gulf") =
        directory.addresses("gateway.example", ZoneName("$region-a"), RegionName(region))

    /** Guards against callers that a restarted host led to any region before it knew the homes (HOME). */
    @Nested
    inner class `given a host that has just started` {
        @Test
        fun `without a manifest it names no host of another region`() {
            hear(homeHost, farHost)
            expectThat(named()).isEmpty()
        }

        @Test
        fun `without a manifest it names ready hosts of the caller's region`() {
            hear(neighbour, farHost)
            expectThat(named()).containsExactly(neighbour.callerAddress)
        }

        @Test
        fun `it names no other region while it has not heard from the home regions`() {
            learnManifest("gulf", "piedmont")
            hear(farHost)
            expectThat(named()).isEmpty()
            hear(homeHost)
            expectThat(named()).containsExactly(homeHost.callerAddress)
        }

        @Test
        fun `it does not name itself to callers of another region whose homes are elsewhere`() {
            learnManifest("piedmont")
            isReady = true
            expectThat(named(region = "delta")).isEmpty()
            expectThat(named(region = "gulf")).containsExactly(self.callerAddress)
        }

        @Test
        fun `callers without homes are led to any ready host`() {
            learnManifest()
            hear(farHost)
            expectThat(named()).containsExactly(farHost.callerAddress)
        }
    }

    @Nested
    inner class `given a host that has known the others for a while` {
        @Test
        fun `callers are led to any ready host if there is no other, with or without a manifest`() {
            now += 3.seconds
            hear(farHost)
            expectThat(named()).containsExactly(farHost.callerAddress)
            learnManifest("gulf", "piedmont")
            expectThat(named()).containsExactly(farHost.callerAddress)
        }
    }
}
