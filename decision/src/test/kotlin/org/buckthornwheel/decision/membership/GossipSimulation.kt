package org.buckthornwheel.decision.membership

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.routing.WorkName
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Simulates hosts that gossip over a network that loses, delays and duplicates messages, with a simulated clock. */
internal class GossipSimulation(zones: Int, hostsInZone: Int, seed: Long) {
    private val random = Random(seed)
    private val queue = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private var order = 0L
    private var now = MonotonicInstant(0)
    private val allAddresses = (0 until zones).flatMap { zone -> (0 until hostsInZone).map { address(zone, it) } }

    val hosts: List<SimulatedHost> = (0 until zones).flatMap { zone ->
        (0 until hostsInZone).map { SimulatedHost(zone, it) }
    }
    private val byAddress = hosts.associateBy { it.profile.peerAddress }

    var lossShare = 0.0
    var duplicateShare = 0.0
    var severed: (SimulatedHost, SimulatedHost) -> Boolean = { _, _ -> false }

    init {
        hosts.forEach { schedule(now + random.nextInt(1_000).milliseconds, Event.Tick(it)) }
    }

    /** Advances the simulation by [time] and returns the bytes that each host sent in that time. */
    fun run(time: Duration): Map<HostName, Int> {
        val end = now + time
        hosts.forEach { it.sentBytes = 0 }
        while (queue.isNotEmpty() && queue.peek().at <= end) {
            val event = queue.poll()
            now = event.at
            handle(event.action)
        }
        now = end
        return hosts.associate { it.profile.name to it.sentBytes }
    }

    fun states(observer: SimulatedHost): Map<HostName, MemberState> =
        observer.membership.snapshot(now).associate { it.profile.name to it.state }

    fun announce(host: SimulatedHost) = deliver(host, host.node.announce(now))

    private fun handle(action: Event.Action) {
        when (action) {
            is Event.Tick -> {
                schedule(now + INTERVAL, action)
                if (!action.host.paused) deliver(action.host, action.host.node.tick(now))
            }

            is Event.Arrival -> if (!action.host.paused) {
                deliver(action.host, action.host.node.receive(action.content, now))
            }
        }
    }

    private fun deliver(sender: SimulatedHost, outgoing: List<OutgoingGossip>) = outgoing.forEach { message ->
        sender.sentBytes += sizeOf(message.content)
        val receiver = byAddress.getValue(message.receiver)
        if (severed(sender, receiver)) return@forEach
        val copies = if (random.nextDouble() < duplicateShare) 2 else 1
        repeat(copies) {
            if (random.nextDouble() >= lossShare) {
                schedule(now + random.nextInt(1, 120).milliseconds, Event.Arrival(receiver, message.content))
            }
        }
    }

    private fun schedule(at: MonotonicInstant, action: Event.Action) {
        queue += Event(at, order++, action)
    }

    inner class SimulatedHost(val zone: Int, number: Int) {
        val profile = HostProfile(
            name = HostName("zone-$zone-host-$number"),
            incarnation = Incarnation(1),
            region = RegionName("region-$zone"),
            zone = ZoneName("zone-$zone"),
            callerAddress = address(zone, number),
            peerAddress = address(zone, number),
            leaving = false,
        )
        var leaving = false
        var paused = false
        var sentBytes = 0
        var revision = Revision.NONE
        val membership = Membership(LIMITS, profile.zone)
        val summaries = ZoneSummaries(clock(), LIMITS.goneAfter, LIMITS.goneAfter, INTERVAL)
        private val usage = GossipedUsage({ persistentMapOf() }, summaries, clock(), LIMITS.goneAfter)
        val node = GossipNode(
            membership = membership,
            summaries = summaries,
            usage = usage,
            source = source(),
            limits = GOSSIP,
            size = ::sizeOf,
            random = Random(random.nextLong()),
        )

        private fun source() = object : GossipSource {
            override fun profile(): HostProfile = this@SimulatedHost.profile.copy(leaving = leaving)

            override fun revision(): Revision = this@SimulatedHost.revision

            override fun loads(): ImmutableList<WorkLoad> = persistentListOf(LOAD)

            override fun seedAddresses(): Collection<NetworkAddress> = allAddresses
        }
    }

    private fun clock() = MonotonicClock { now }

    private data class Event(val at: MonotonicInstant, val order: Long, val action: Action) {
        sealed interface Action

        data class Tick(val host: SimulatedHost) : Action

        data class Arrival(val host: SimulatedHost, val content: GossipContent) : Action
    }

    companion object {
        val INTERVAL = 1.seconds
        val LIMITS = MembershipLimits(3.seconds, 10.seconds, 600.seconds, INTERVAL)
        val GOSSIP = GossipLimits()
        val LOAD = WorkLoad(WorkName("drafting"), 4, 32, 12, 3)

        private fun address(zone: Int, number: Int) = NetworkAddress("10.0.$zone.$number", 7_000)

        /** The size of a message in bytes, estimated from the wire size of its parts and rounded up. */
        fun sizeOf(content: GossipContent): Int {
            val summaries = content.zones.sumOf { 70 + 20 * it.contacts.size + 26 * it.loads.size }
            val lists = 20 * content.heartbeats.size + 140 * content.profiles.size + 10 * content.requestedProfiles.size
            return 100 + summaries + lists + 25 * content.links.size
        }
    }
}
