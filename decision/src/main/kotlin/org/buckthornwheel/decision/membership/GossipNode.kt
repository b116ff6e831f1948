package org.buckthornwheel.decision.membership

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.ZoneName
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.random.Random
import kotlin.time.Duration

/**
 * The gossip protocol of one host: decides which messages to send, and applies the messages that arrive.
 *
 * Within a zone, each host sends the newest heartbeats that it knows to a few others. Between zones, a few
 * representatives send summaries, which are then forwarded within the receiving zone. Messages to the own zone,
 * messages to other zones and replies each have a share of the byte budget; a message that exceeds it is not sent.
 */
public class GossipNode(
    private val membership: Membership,
    private val summaries: ZoneSummaries,
    private val usage: GossipedUsage,
    private val source: GossipSource,
    private val limits: GossipLimits,
    private val size: MessageSize,
    random: Random,
) {
    private val lock = ReentrantLock()
    private val zoneBudget = ByteBudget(limits.bytesPerSecond * ZONE_SHARE, limits.budgetDepth)
    private val linkBudget = ByteBudget(limits.bytesPerSecond * LINK_SHARE, limits.budgetDepth)
    private val replyBudget = ByteBudget(limits.bytesPerSecond * REPLY_SHARE, limits.budgetDepth)
    private val profileRequestedAt = HashMap<HostKey, Long>()
    private val peerRotation = Rotation<HostName>(random)
    private val profileRotation = Rotation<HostName>(random)
    private val zoneRotation = Rotation<ZoneName>(random)
    private val contactRotations = HashMap<ZoneName, Rotation<HostName>>()
    private val seedRotation = Rotation<NetworkAddress>(random)
    private val messagesSent = HashMap<HostName, Int>()
    private val seed = random.nextInt()
    private val ownKey = HostKey.of(source.profile())
    private var current: GossipRound? = null
    private var sequence = 0L
    private var intervals = 0L

    /** Starts the next interval at [now] and returns the messages to send. */
    public fun tick(now: MonotonicInstant): List<OutgoingGossip> = lock.withLock {
        membership.prune(now)
        sequence += 1
        intervals += 1
        val members = membership.snapshot(now)
        val round = round(members, now)
        current = round
        messagesSent.keys.retainAll(members.filter { it.state != MemberState.GONE }.map { it.profile.name }.toSet())
        joinRequests(members, now) + zoneMessages(round, now) + linkMessages(round, now)
    }

    /** Messages that report a state change of this host at once to its own zone and to one host of each other zone. */
    public fun announce(now: MonotonicInstant): List<OutgoingGossip> = lock.withLock {
        sequence += 1
        val live = membership.snapshot(now).filter { it.state != MemberState.GONE }
        val (own, others) = live.partition { it.profile.zone == source.profile().zone }
        val contacts = others.groupBy { it.profile.zone }.values.map { it.first() }
        (own.take(MAXIMUM_ANNOUNCED_HOSTS) + contacts).map { outgoing(it.profile, GossipContent(ownHeartbeat())) }
    }

    /** Applies [content], received at [now], and returns the replies to send. */
    public fun receive(content: GossipContent, now: MonotonicInstant): List<OutgoingGossip> = lock.withLock {
        content.profiles.forEach(membership::storeProfile)
        val own = source.profile()
        if (content.sender.key == ownKey) return emptyList()
        val unknown = applyHeartbeats(content, now)
        val sender = membership.profileOf(content.sender.key) ?: return emptyList()
        applyReports(content, sender, now)
        listOfNotNull(reply(content, sender, unknown, now)).filter { replyBudget.tryAdmit(it.content, now) }
    }

    private fun applyHeartbeats(content: GossipContent, now: MonotonicInstant): Set<HostKey> {
        val heartbeats = listOf(content.sender) + content.heartbeats + content.zones.flatMap { it.contacts }
        val others = heartbeats.filter { it.key != ownKey }
        others.forEach { membership.applyHeartbeat(it, now) }
        return others.map { it.key }.filter { membership.profileOf(it) == null && mayRequestProfile(it) }.toSet()
    }

    /** Limits how often the same profile is requested, since the hosts that forwarded its heartbeat may lack it too. */
    private fun mayRequestProfile(key: HostKey): Boolean {
        val requestedAt = profileRequestedAt[key]
        if (requestedAt != null && intervals - requestedAt < PROFILE_REQUEST_INTERVALS) return false
        if (profileRequestedAt.size >= MAXIMUM_PROFILE_REQUESTS) profileRequestedAt.clear()
        profileRequestedAt[key] = intervals
        return true
    }

    private fun applyReports(content: GossipContent, sender: HostProfile, now: MonotonicInstant) {
        val zone = source.profile().zone
        val forwardsPerSummary = current?.forwardsPerSummary ?: 0
        content.zones.filter { it.zone != zone }.forEach { summaries.applySummary(it, forwardsPerSummary, now) }
        if (sender.zone == zone) {
            usage.record(sender.name, content.usage, now)
            content.links.forEach { summaries.recordReportedLink(it, now) }
            return
        }
        val roundTrip = content.echo?.let { now - MonotonicInstant(it) }?.takeIf { !it.isNegative() }
        summaries.recordDirectLink(sender.zone, roundTrip, now)
    }

    private fun reply(
        content: GossipContent,
        sender: HostProfile,
        unknown: Set<HostKey>,
        now: MonotonicInstant,
    ): OutgoingGossip? {
        val requested = content.requestedProfiles.take(MAXIMUM_PROFILES)
            .mapNotNull { membership.profileOf(it) ?: ownProfile(it) }
        val introduction = if (content.isJoinRequest) listOf(source.profile()) else emptyList()
        val isEmpty = unknown.isEmpty() && requested.isEmpty() && introduction.isEmpty() && content.probe == null
        if (isEmpty) return null
        val reply = GossipContent(
            sender = ownHeartbeat(),
            heartbeats = if (content.isJoinRequest) heartbeatsOf(sender.zone, now) else heartbeatsOf(requested, now),
            profiles = (requested + introduction).toImmutableList(),
            requestedProfiles = unknown.take(MAXIMUM_PROFILES).toImmutableList(),
            echo = content.probe,
        )
        return OutgoingGossip(sender.peerAddress, reply)
    }

    private fun ownProfile(key: HostKey): HostProfile? = source.profile().takeIf { key == ownKey }

    private fun round(members: List<Member>, now: MonotonicInstant): GossipRound {
        val own = source.profile()
        val peers = members.filter { it.profile.zone == own.zone }
        val live = peers.filter { it.state == MemberState.ALIVE }.map { it.profile.name } + own.name
        val forwarded = peers.filter { it.state in FORWARDED_STATES }.sortedByDescending { it.heardAt }
        val representatives = ZoneDutyAssignment.of(own.zone, ZoneDuty.SPEAKER, live, limits.representatives)
        val isRepresentative = own.name in representatives
        return GossipRound(
            peers = peers.filter { it.state != MemberState.GONE }.associate { it.profile.name to it.profile },
            membersOfOtherZones = members.filter { it.profile.zone != own.zone }.groupBy { it.profile.zone },
            heartbeats = forwarded.take(limits.heartbeats).map { it.heartbeat }.toImmutableList(),
            links = if (isRepresentative) summaries.linksHeardDirectly(now).toImmutableList() else persistentListOf(),
            isRepresentative = isRepresentative,
            isFirstRepresentative = own.name == representatives.first(),
            forwardsPerSummary = (Int.SIZE_BITS - (live.size - 1).countLeadingZeroBits()).coerceAtMost(live.size - 1),
        )
    }

    private fun zoneMessages(round: GossipRound, now: MonotonicInstant): List<OutgoingGossip> =
        peerRotation.next(round.peers.keys, limits.zoneFanout).mapNotNull { name ->
            zoneMessage(round, round.peers.getValue(name), now)
        }

    private fun zoneMessage(round: GossipRound, receiver: HostProfile, now: MonotonicInstant): OutgoingGossip? {
        val pending = summaries.summariesToForward(limits.summaries, now)
        val withoutSummaries = GossipContent(
            sender = ownHeartbeat(),
            heartbeats = round.heartbeats,
            profiles = profilesFor(receiver, round),
            usage = usage.ofThisHost(limits.accounts),
            links = round.links,
        )
        val addressed = outgoing(receiver, withoutSummaries)
        val affordable = listOf(pending, pending.take(1), emptyList()).firstOrNull { chosen ->
            zoneBudget.tryAdmit(addressed.content.copy(zones = chosen.toImmutableList()), now)
        } ?: return null
        summaries.recordForwarded(affordable)
        messagesSent.merge(receiver.name, 1, Int::plus)
        return addressed.copy(content = addressed.content.copy(zones = affordable.toImmutableList()))
    }

    /** The first messages to a host each contain one profile of the zone, until the host should know them all. */
    private fun profilesFor(receiver: HostProfile, round: GossipRound): ImmutableList<HostProfile> {
        val sent = messagesSent[receiver.name] ?: 0
        if (sent > INTRODUCTION_MESSAGES) return persistentListOf()
        return profileRotation.next(round.peers.keys - receiver.name, 1).map(round.peers::getValue).toImmutableList()
    }

    private fun ByteBudget.tryAdmit(content: GossipContent, now: MonotonicInstant): Boolean {
        val bytes = size.of(content)
        return bytes <= limits.datagramBytes && tryConsume(bytes, now)
    }

    private fun linkMessages(round: GossipRound, now: MonotonicInstant): List<OutgoingGossip> {
        if (
            !round.isRepresentative ||
            (!round.isFirstRepresentative && intervals % SECOND_REPRESENTATIVE_INTERVALS != 0L)
        ) {
            return emptyList()
        }
        return zoneRotation.next(round.membersOfOtherZones.keys, limits.linkFanout).mapNotNull { zone ->
            val receiver = contactOf(zone, round.membersOfOtherZones.getValue(zone))
            val content = GossipContent(
                sender = ownHeartbeat(),
                zones = persistentListOf(ownSummary(round, now)),
                probe = now.nanoseconds,
            )
            outgoing(receiver, content).takeIf { linkBudget.tryAdmit(it.content, now) }
                ?.also { messagesSent.merge(receiver.name, 1, Int::plus) }
        }
    }

    private fun contactOf(zone: ZoneName, hosts: List<Member>): HostProfile {
        val live = hosts.filter { it.state == MemberState.ALIVE }.ifEmpty { hosts }
            .associate { it.profile.name to it.profile }
        val rotation = contactRotations.getOrPut(zone) { Rotation(Random(seed)) }
        return live.getValue(rotation.next(live.keys, 1).single())
    }

    private fun joinRequests(members: List<Member>, now: MonotonicInstant): List<OutgoingGossip> {
        val isIsolated = members.none { it.state == MemberState.ALIVE }
        if (!isIsolated && intervals % limits.joinRequestEveryIntervals != 0L) return emptyList()
        val live = members.filter { it.state == MemberState.ALIVE }.map { it.profile.peerAddress }
        val own = source.profile()
        val candidates = (source.seedAddresses() - live.toSet() - own.peerAddress).distinct()
        val content = GossipContent(sender = ownHeartbeat(), profiles = persistentListOf(own), isJoinRequest = true)
        return seedRotation.next(candidates, if (isIsolated) limits.joinRequests else 1)
            .map { OutgoingGossip(it, content) }
            .filter { linkBudget.tryAdmit(it.content, now) }
    }

    /** Addresses [content] to [receiver] and adds the own profile if the receiver may lack it. */
    private fun outgoing(receiver: HostProfile, content: GossipContent): OutgoingGossip {
        val sent = messagesSent[receiver.name] ?: 0
        val includesProfile = sent < FIRST_MESSAGES_WITH_PROFILE || sent % limits.profileEveryMessages == 0
        val complete = if (includesProfile) {
            content.copy(
                profiles = (content.profiles + source.profile()).toImmutableList(),
            )
        } else {
            content
        }
        return OutgoingGossip(receiver.peerAddress, complete)
    }

    private fun ownSummary(round: GossipRound, now: MonotonicInstant): ZoneSummary {
        val own = source.profile()
        return ZoneSummary(
            zone = own.zone,
            region = own.region,
            representative = ownKey,
            sequence = sequence,
            age = Duration.ZERO,
            contacts = (listOf(ownHeartbeat()) + round.heartbeats.take(limits.contacts - 1)).toImmutableList(),
            loads = source.loads(),
            usage = usage.ofThisZone(limits.accounts, now),
        )
    }

    private fun ownHeartbeat(): GossipHeartbeat {
        val own = source.profile()
        return GossipHeartbeat(ownKey, sequence, source.revision(), own.leaving)
    }

    private fun heartbeatsOf(zone: ZoneName, now: MonotonicInstant): ImmutableList<GossipHeartbeat> = membership
        .snapshot(now)
        .filter { it.profile.zone == zone && it.state in FORWARDED_STATES }
        .sortedByDescending { it.heardAt }
        .take(limits.heartbeats)
        .map { it.heartbeat }
        .toImmutableList()

    private fun heartbeatsOf(profiles: List<HostProfile>, now: MonotonicInstant): ImmutableList<GossipHeartbeat> {
        val names = profiles.map { it.name }.toSet()
        return membership.snapshot(now)
            .filter { it.profile.name in names && it.state in FORWARDED_STATES }
            .map { it.heartbeat }
            .toImmutableList()
    }

    private companion object {
        const val MAXIMUM_PROFILES = 2
        const val MAXIMUM_ANNOUNCED_HOSTS = 32
        const val FIRST_MESSAGES_WITH_PROFILE = 2
        const val INTRODUCTION_MESSAGES = 12
        const val PROFILE_REQUEST_INTERVALS = 2
        const val MAXIMUM_PROFILE_REQUESTS = 1_024
        const val SECOND_REPRESENTATIVE_INTERVALS = 4L
        const val ZONE_SHARE = 0.4
        const val LINK_SHARE = 0.35
        const val REPLY_SHARE = 0.25
        val FORWARDED_STATES = setOf(MemberState.ALIVE, MemberState.LEAVING)
    }
}
