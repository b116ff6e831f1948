/*
 * Conversion between the gossip types of the module decision and the wire messages.
 */

package org.buckthornwheel.daemon.membership

import kotlinx.collections.immutable.toImmutableList
import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.admission.AccountUsage
import org.buckthornwheel.decision.membership.AccountUsageEntry
import org.buckthornwheel.decision.membership.GossipContent
import org.buckthornwheel.decision.membership.GossipHeartbeat
import org.buckthornwheel.decision.membership.HostKey
import org.buckthornwheel.decision.membership.HostProfile
import org.buckthornwheel.decision.membership.LinkRoundTrip
import org.buckthornwheel.decision.membership.WorkLoad
import org.buckthornwheel.decision.membership.ZoneSummary
import org.buckthornwheel.decision.routing.WorkName
import org.buckthornwheel.protocol.peer.Gossip
import org.buckthornwheel.protocol.peer.HeartbeatMessage
import org.buckthornwheel.protocol.peer.LinkMessage
import org.buckthornwheel.protocol.peer.LoadMessage
import org.buckthornwheel.protocol.peer.ProfileMessage
import org.buckthornwheel.protocol.peer.SummaryMessage
import org.buckthornwheel.protocol.peer.UsageMessage
import kotlin.math.roundToLong
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

private const val USAGE_WINDOW_SECONDS = 10

internal fun GossipContent.toMessage(): Gossip = Gossip(
    sender = sender.toMessage(),
    heartbeats = heartbeats.map { it.toMessage() },
    profiles = profiles.map { it.toMessage() },
    requestedProfiles = requestedProfiles.map { it.value },
    zones = zones.map { it.toMessage() },
    usage = usage.map { it.toMessage() },
    links = links.map { LinkMessage(it.zone.value, it.roundTrip.inWholeMicroseconds) },
    isJoinRequest = isJoinRequest,
    probe = probe,
    echo = echo,
)

internal fun Gossip.toContent(): GossipContent = GossipContent(
    sender = sender.toHeartbeat(),
    heartbeats = heartbeats.map { it.toHeartbeat() }.toImmutableList(),
    profiles = profiles.mapNotNull { it.toProfile() }.toImmutableList(),
    requestedProfiles = requestedProfiles.map { HostKey(it) }.toImmutableList(),
    zones = zones.map { it.toSummary() }.toImmutableList(),
    usage = usage.map { it.toUsage() }.toImmutableList(),
    links = links.map { LinkRoundTrip(ZoneName(it.zone), it.roundTripMicroseconds.microseconds) }.toImmutableList(),
    isJoinRequest = isJoinRequest,
    probe = probe,
    echo = echo,
)

private fun GossipHeartbeat.toMessage(): HeartbeatMessage =
    HeartbeatMessage(key.value, sequence, revision.value, leaving)

private fun HeartbeatMessage.toHeartbeat(): GossipHeartbeat =
    GossipHeartbeat(HostKey(key), sequence, Revision(revision), leaving)

private fun HostProfile.toMessage(): ProfileMessage = ProfileMessage(
    name = name.value,
    incarnation = incarnation.value,
    region = region.value,
    zone = zone.value,
    callerAddress = callerAddress.toString(),
    peerAddress = peerAddress.toString(),
)

private fun ProfileMessage.toProfile(): HostProfile? {
    val callers = NetworkAddress.parse(callerAddress) ?: return null
    val peers = NetworkAddress.parse(peerAddress) ?: return null
    val run = Incarnation(incarnation)
    return HostProfile(HostName(name), run, RegionName(region), ZoneName(zone), callers, peers, leaving = false)
}

private fun ZoneSummary.toMessage(): SummaryMessage = SummaryMessage(
    zone = zone.value,
    region = region.value,
    representative = representative.value,
    sequence = sequence,
    ageMilliseconds = age.inWholeMilliseconds,
    contacts = contacts.map { it.toMessage() },
    loads = loads.map { LoadMessage(it.work.value, it.usableTargets, it.capacity, it.running, it.waiting) },
    usage = usage.map { it.toMessage() },
)

private fun SummaryMessage.toSummary(): ZoneSummary = ZoneSummary(
    zone = ZoneName(zone),
    region = RegionName(region),
    representative = HostKey(representative),
    sequence = sequence,
    age = ageMilliseconds.coerceAtLeast(0).milliseconds,
    contacts = contacts.map { it.toHeartbeat() }.toImmutableList(),
    loads = loads
        .map { WorkLoad(WorkName(it.work), it.usableTargets, it.capacity, it.running, it.waiting) }
        .toImmutableList(),
    usage = usage.map { it.toUsage() }.toImmutableList(),
)

private fun AccountUsageEntry.toMessage(): UsageMessage = UsageMessage(
    account = account.value,
    requestsInTenSeconds = (usage.requestsPerSecond * USAGE_WINDOW_SECONDS).roundToLong(),
    requestsInFlight = usage.requestsInFlight,
)

private fun UsageMessage.toUsage(): AccountUsageEntry = AccountUsageEntry(
    account = AccountName(account),
    usage = AccountUsage(requestsInTenSeconds.toDouble() / USAGE_WINDOW_SECONDS, requestsInFlight),
)
