package org.buckthornwheel.forwarding.membership

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.entry.EntryHostProfile
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull

internal class HeartbeatTest {
    private val sender = SenderDescription.of(
        EntryHostProfile(
            HostName("edge-salish-s-a-12"),
            Incarnation(1_796_378_654_445),
            ZoneName("salish-s-a"),
            RegionName("salish-south"),
            NetworkAddress("10.128.64.101", 18_144),
            NetworkAddress("10.128.64.101", 17_660),
            cores = 0.36,
        ),
    )
    private val brief = Heartbeat(sender, isReady = true, intervalMilliseconds = 1_000, revision = 123_456)

    @Test
    fun `a decoded heartbeat equals the encoded one`() {
        val work = listOf(ReplicaWork("i-d1b18094d1", requests = 3, tokens = 54_000, prefillTokens = 0))
        val reads = listOf(ReplicaRead("i-d1b18094d1", listOf(ReadPart("5c1e07a2", 13_300))))
        val heartbeat = brief.copy(activity = Activity(work, reads))
        expectThat(Heartbeat.decode(heartbeat.encode())).isEqualTo(heartbeat)
    }

    /** The traffic budget of a standby host is based on this size. */
    @Test
    fun `a heartbeat without activity has at most 150 bytes`() {
        expectThat(brief.encode().size).isLessThanOrEqualTo(150)
    }

    @Test
    fun `load at one replica adds at most 30 bytes`() {
        fun size(replicas: Int) = brief.copy(
            activity = Activity(List(replicas) { ReplicaWork("i-d1b18094d1", 3, 54_000, 17_000) }, emptyList()),
        ).encode().size
        expectThat(size(replicas = 20) - size(replicas = 10)).isLessThanOrEqualTo(300)
    }

    @Test
    fun `bytes that are not a heartbeat decode to null`() {
        expectThat(Heartbeat.decode(byteArrayOf(1, 2, 3))).isNull()
        expectThat(Heartbeat.decode(brief.encode().copyOf(20))).isNull()
    }
}
