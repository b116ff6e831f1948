package org.buckthornwheel.daemon.membership

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.collections.immutable.ImmutableList
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.Revision
import org.buckthornwheel.daemon.configuration.EstateHolder
import org.buckthornwheel.decision.admission.LocalUsage
import org.buckthornwheel.decision.admission.RemoteUsage
import org.buckthornwheel.decision.fleet.TargetFleet
import org.buckthornwheel.decision.membership.GossipLimits
import org.buckthornwheel.decision.membership.GossipNode
import org.buckthornwheel.decision.membership.GossipSource
import org.buckthornwheel.decision.membership.GossipedUsage
import org.buckthornwheel.decision.membership.HostProfile
import org.buckthornwheel.decision.membership.Membership
import org.buckthornwheel.decision.membership.MembershipLimits
import org.buckthornwheel.decision.membership.MessageSize
import org.buckthornwheel.decision.membership.WorkLoad
import org.buckthornwheel.decision.membership.ZoneLoads
import org.buckthornwheel.decision.membership.ZoneSummaries
import org.buckthornwheel.decision.routing.RemoteZoneStates
import org.buckthornwheel.protocol.peer.PeerCodec
import org.buckthornwheel.protocol.peer.PeerMessage
import org.buckthornwheel.settings.HostSettings
import java.security.SecureRandom
import kotlin.random.asKotlinRandom
import kotlin.time.Duration.Companion.milliseconds

/** Dependencies of the gossip between hosts on other parts of the process. */
internal class MembershipContext(
    val settings: HostSettings,
    val profile: () -> HostProfile,
    val estate: EstateHolder,
    val fleet: TargetFleet,
    val localUsage: LocalUsage,
    val seedAddresses: () -> Collection<NetworkAddress>,
)

/** Wires the parts of the process that track other hosts. */
internal class MembershipParts(
    private val context: MembershipContext,
    codec: PeerCodec,
    addresses: AddressBook,
    registry: MeterRegistry,
    private val clock: MonotonicClock,
) {
    private val timeouts = context.settings.timeouts
    private val interval = timeouts.heartbeatIntervalMilliseconds.milliseconds
    private val goneAfter = timeouts.goneAfterMilliseconds.milliseconds
    private val zone = context.settings.host.zone
    private val summaries = ZoneSummaries(clock, goneAfter, staleAfter = goneAfter, interval)
    private val usage = GossipedUsage(context.localUsage, summaries, clock, staleAfter = goneAfter)

    /** The other hosts and their liveness. */
    val membership: Membership = Membership(membershipLimits(), zone)

    /** State of the remote zones. */
    val zoneStates: RemoteZoneStates = summaries

    /** Usage of the accounts at other hosts. */
    val remoteUsage: RemoteUsage = usage

    /** Sends and receives the gossip messages. */
    val transport: GossipTransport = GossipTransport(
        listen = context.settings.listen.peers.address(),
        interval = interval,
        codec = codec,
        node = GossipNode(
            membership = membership,
            summaries = summaries,
            usage = usage,
            source = source(),
            limits = GossipLimits(bytesPerSecond = context.settings.limits.controlBytesPerSecond),
            size = MessageSize { ControlTraffic.wireBytes(codec.encode<PeerMessage>(it.toMessage()).size) },
            random = SecureRandom().asKotlinRandom(),
        ),
        addresses = addresses,
        traffic = ControlTraffic(registry),
        clock = clock,
    )

    private fun membershipLimits(): MembershipLimits = MembershipLimits(
        suspectAfter = timeouts.suspectAfterMilliseconds.milliseconds,
        goneAfter = goneAfter,
        forgetAfter = timeouts.forgetAfterMilliseconds.milliseconds,
        interval = interval,
    )

    private fun source(): GossipSource = object : GossipSource {
        override fun profile(): HostProfile = context.profile()

        override fun revision(): Revision = context.estate.current().revision

        override fun loads(): ImmutableList<WorkLoad> =
            ZoneLoads.of(context.estate.current().index.targetsIn(zone), context.fleet, clock.now())

        override fun seedAddresses(): Collection<NetworkAddress> = context.seedAddresses()
    }
}
