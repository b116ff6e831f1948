package org.buckthornwheel.decision.entry

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.replica.ReplicaId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class KnownEntryHostsTest {
    private val now = MonotonicInstant(0) + 100.seconds
    private val self = host("self", "north")
    private val hosts = KnownEntryHosts(self)

    private fun host(
        name: String,
        region: String,
        incarnation: Long = 1,
        cores: Double = 0.75,
        zone: String = "$region-a",
    ) = EntryHostProfile(
        HostName(name),
        Incarnation(incarnation),
        ZoneName(zone),
        RegionName(region),
        NetworkAddress("10.0.0.1", 80),
        NetworkAddress("10.0.0.1", 81),
        cores,
    )

    private fun KnownEntryHosts.recordHeartbeat(
        host: EntryHostProfile,
        isReady: Boolean,
        at: MonotonicInstant,
        interval: Duration = 250.milliseconds,
    ): Boolean = recordHeartbeat(host, isReady, interval, at)

    private fun names(zone: String, region: String, homes: Set<RegionName> = emptySet(), selfReady: Boolean = true) =
        hosts.hostsForCaller(ZoneName(zone), RegionName(region), homes, selfReady, now).map { it.name.value }

    @Test
    fun `a host that rejects client accounts is named only if all ready hosts do`() {
        val peer = host("peer", "north")
        val far = host("far", "south")
        hosts.recordHeartbeat(peer, isReady = true, 250.milliseconds, now, refusesAccounts = true)
        hosts.recordHeartbeat(far, isReady = true, 250.milliseconds, now, refusesAccounts = false)
        fun names(selfRefuses: Boolean) =
            hosts.hostsForCaller(peer.zone, peer.region, emptySet(), selfReady = true, now, selfRefuses).map {
                it.name.value
            }
        expectThat(names(selfRefuses = false)).containsExactly("self")
        expectThat(names(selfRefuses = true)).containsExactly("far")
        expectThat(hosts.hasAcceptingHost(now)).isTrue()
        hosts.recordHeartbeat(far, isReady = true, 250.milliseconds, now, refusesAccounts = true)
        expectThat(names(selfRefuses = true)).containsExactlyInAnyOrder("self", "peer")
        expectThat(hosts.hasAcceptingHost(now)).isFalse()
        hosts.recordHeartbeat(peer, isReady = true, 250.milliseconds, now, refusesAccounts = false)
        expectThat(names(selfRefuses = true)).containsExactly("peer")
    }

    @Test
    fun `a registered host is named only after its first heartbeat`() {
        hosts.addRegistered(host("peer", "north"))
        expectThat(names("north-a", "north")).containsExactly("self")
        expectThat(hosts.recordHeartbeat(host("peer", "north"), isReady = true, now)).isTrue()
        expectThat(hosts.recordHeartbeat(host("peer", "north"), isReady = true, now)).isFalse()
        expectThat(names("north-a", "north").toSet()).isEqualTo(setOf("self", "peer"))
    }

    @Test
    fun `a silent or unready host is not named`() {
        hosts.recordHeartbeat(host("silent", "north"), isReady = true, now - 3_000.milliseconds)
        hosts.recordHeartbeat(host("leaving", "north"), isReady = false, now)
        expectThat(names("north-a", "north")).containsExactly("self")
    }

    @Test
    fun `callers of another zone are directed to hosts of that zone, or else to those of a home region`() {
        hosts.recordHeartbeat(host("south", "south"), isReady = true, now)
        expectThat(names("south-a", "south")).containsExactly("south")
        expectThat(names("west-a", "west", homes = setOf(RegionName("south")))).containsExactly("south")
        expectThat(names("west-a", "west")).containsExactly("self")
    }

    @Test
    fun `a host that is not ready names only other hosts, or none`() {
        expectThat(names("north-a", "north", selfReady = false)).isEmpty()
        hosts.recordHeartbeat(host("south", "south"), isReady = true, now)
        expectThat(names("north-a", "north", selfReady = false)).containsExactly("south")
    }

    @Test
    fun `an earlier incarnation does not replace a later one`() {
        hosts.recordHeartbeat(host("peer", "north", incarnation = 2), isReady = true, now)
        hosts.recordHeartbeat(host("peer", "north", incarnation = 1), isReady = false, now)
        expectThat(hosts.ready(now).map { it.incarnation.value }).containsExactly(2)
    }

    @Test
    fun `budgets are shared with hosts that are registered or fell silent recently`() {
        hosts.addRegistered(host("listed", "north"))
        hosts.recordHeartbeat(host("silent", "north"), isReady = true, now - 8_000.milliseconds)
        hosts.recordHeartbeat(host("south", "south"), isReady = true, now)
        expectThat(hosts.budgetSharers(now, RegionName("north"))).isEqualTo(3)
        expectThat(hosts.budgetSharers(now, region = null)).isEqualTo(4)
        hosts.removeRegistered(HostName("listed"))
        expectThat(hosts.budgetSharers(now, RegionName("north"))).isEqualTo(2)
    }

    @Nested
    inner class `given hosts of unequal size` {
        private val large = listOf("large-1", "large-2").map { host(it, "south", cores = 1.5) }
        private val small = (1..10).map { host("small-$it", "south", cores = 0.36) }

        private fun recordHeartbeats(senders: List<EntryHostProfile>) =
            senders.forEach { hosts.recordHeartbeat(it, isReady = true, now) }

        @Test
        fun `only the large ones serve the callers of their zone`() {
            recordHeartbeats(large + small)
            expectThat(names("south-a", "south")).containsExactly("large-1", "large-2")
            expectThat(hosts.primaries(RegionName("south"), now)).containsExactlyInAnyOrder(large)
        }

        @Test
        fun `a standby host forwards requests to hosts that are only registered, a primary host does not`() {
            val far = host("far", "south", cores = 1.5)
            hosts.addRegistered(far)
            expectThat(hosts.reachableRegions(now)).isEmpty()
            val standby = KnownEntryHosts(host("standby", "north", cores = 0.3))
            standby.recordHeartbeat(host("large-1", "north", cores = 1.5), isReady = true, now)
            standby.addRegistered(far)
            expectThat(standby.reachableRegions(now)).containsExactly(far.region)
            expectThat(standby.primaries(far.region, now)).containsExactly(far)
        }

        /** Guards against forwarding to a stopping host because its zone has no other. */
        @Test
        fun `no host forwards requests to one that announced that it is not ready`() {
            val standby = KnownEntryHosts(host("standby", "north", cores = 0.3))
            for (known in listOf(hosts, standby)) {
                known.recordHeartbeat(host("large", "north", cores = 1.5), isReady = true, now)
                known.recordHeartbeat(host("leaving", "south", zone = "south-b"), isReady = false, now)
                expectThat(known.primaries(RegionName("south"), now)).isEmpty()
                expectThat(known.reachableRegions(now)).isEmpty()
                known.recordHeartbeat(host("ready", "south"), isReady = true, now)
                expectThat(known.primaries(RegionName("south"), now).map { it.name.value }).containsExactly("ready")
            }
        }

        @Test
        fun `small ones replace the large ones that are gone`() {
            recordHeartbeats(listOf(large[0]) + small)
            expectThat(names("south-a", "south")).containsExactly("large-1")
            val later = now + 5.seconds
            small.forEach { hosts.recordHeartbeat(it, isReady = true, later) }
            expectThat(hosts.hostsForCaller(ZoneName("south-a"), null, emptySet(), selfReady = true, later)).hasSize(9)
        }

        @Test
        fun `equal hosts all serve callers, up to the maximum number of cores`() {
            recordHeartbeats((1..3).map { host("equal-$it", "south", cores = 0.75) })
            expectThat(names("south-a", "south")).hasSize(3)
            recordHeartbeats((4..30).map { host("equal-$it", "south", cores = 0.75) })
            expectThat(names("south-a", "south")).hasSize(4)
        }
    }

    @Nested
    inner class `given heartbeats` {
        private fun intervals(busy: Boolean = true) = hosts.heartbeatIntervals(busy, now).mapKeys { it.key.name.value }

        @Test
        fun `hosts that share replicas exchange heartbeats most often`() {
            hosts.recordHeartbeat(host("near", "north"), isReady = true, now)
            hosts.recordHeartbeat(host("far", "south"), isReady = true, now)
            expectThat(intervals()).isEqualTo(mapOf("near" to 250.milliseconds, "far" to 500.milliseconds))
        }

        @Test
        fun `a standby host sends heartbeats only to the primary hosts of its own region`() {
            listOf("large-1", "large-2").forEach { name ->
                hosts.recordHeartbeat(host(name, "north", cores = 1.5), isReady = true, now)
                hosts.recordHeartbeat(host("far-$name", "south", cores = 1.5), isReady = true, now)
            }
            hosts.recordHeartbeat(host("other", "north", cores = 0.3), isReady = true, now)
            expectThat(intervals(busy = false)).isEqualTo(mapOf("large-1" to 1.seconds, "large-2" to 1.seconds))
        }

        @Test
        fun `standby hosts send each other heartbeats when the primary ones are gone`() {
            val large = host("large-1", "north", cores = 1.5)
            val other = host("other", "north", cores = 0.3)
            val standby = KnownEntryHosts(host("standby", "north", cores = 0.3))
            standby.recordHeartbeat(large, isReady = true, now)
            standby.addRegistered(other)
            expectThat(standby.heartbeatIntervals(busy = false, now)).isEqualTo(mapOf(large to 1.seconds))
            standby.recordHeartbeat(other, isReady = true, now + 3.seconds)
            val later = now + 4.seconds
            expectThat(standby.heartbeatIntervals(busy = false, later)[other]).isEqualTo(250.milliseconds)
        }

        @Test
        fun `a host that announces a longer heartbeat interval counts as dead later`() {
            hosts.recordHeartbeat(host("rare", "north"), isReady = true, now, interval = 2.seconds)
            hosts.recordHeartbeat(host("often", "north"), isReady = true, now)
            expectThat(hosts.ready(now + 2.seconds).map { it.name.value }).containsExactly("rare")
            expectThat(hosts.ready(now + 7.seconds)).isEmpty()
        }

        @Test
        fun `with 400 hosts in 21 zones of 9 regions, a standby host sends at most two kilobytes per second`() {
            repeat(399) { number ->
                val zone = number % 21
                val placed = host("host-$number", "region-${zone % 9}").copy(zone = ZoneName("zone-$zone"))
                hosts.recordHeartbeat(placed, isReady = true, now)
            }
            val standby = host("zz-standby", "region-3").copy(zone = ZoneName("zone-3"))
            val view = KnownEntryHosts(standby).apply {
                hosts.all().forEach { recordHeartbeat(it, isReady = true, now) }
            }
            val perSecond = view.heartbeatIntervals(busy = false, now).values.sumOf { 1.seconds / it }
            expectThat(perSecond * HEARTBEAT_BYTES).isLessThan(2_000.0)
        }
    }

    @Nested
    inner class `given cold replicas` {
        @Test
        fun `three hosts of the region use one, and all hosts agree on which three`() {
            val all = (1..20).map { host("host-$it", "north", cores = 0.1) }
            val users = all.filter { user ->
                val view = KnownEntryHosts(user).apply {
                    (all - user).forEach { recordHeartbeat(it, isReady = true, now) }
                }
                view.mayUseColdReplica(ReplicaId("i-1"), now)
            }
            expectThat(users).hasSize(3)
        }

        @Test
        fun `a standby host does not use one, since the primary hosts do not count it among the users`() {
            val standby = KnownEntryHosts(host("standby", "north", cores = 0.3))
            standby.recordHeartbeat(host("large-1", "north", cores = 1.5), isReady = true, now)
            expectThat((1..20).count { standby.mayUseColdReplica(ReplicaId("i-$it"), now) }).isEqualTo(0)
        }

        @Test
        fun `a host that knows no other host uses one`() {
            expectThat(hosts.mayUseColdReplica(ReplicaId("i-1"), now)).isTrue()
        }
    }

    private operator fun MonotonicInstant.minus(duration: Duration) = this + (-duration)

    private companion object {
        /** Size of an encoded heartbeat without activity, see HeartbeatTest. */
        const val HEARTBEAT_BYTES = 150
    }
}
