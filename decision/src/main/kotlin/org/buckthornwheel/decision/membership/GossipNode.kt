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
 * One host's part in the exchange: whom to tell what, and what to make of what others say.
 *
 * Inside a zone each host tells a few others the newest signs of life that it knows. Between zones, a few
 * speakers tell summaries, which then spread inside the receiving zone. The own zone, the links
 * and the answers each have a share of the byte budget; a message for which nothing is left is not sent.
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
    private val answerBudget = ByteBudget(limits.bytesPerSecond * ANSWER_SHARE, limits.budgetDepth)
    private val wantedAt = HashMap<HostKey, Long>()
    private val peerRotation = Rotation<HostName>(random)
    private val profileRotation = Rotation<HostName>(random)
    private val zoneRotation = Rotation<ZoneName>(random)
    private val contactRotation = HashMap<ZoneName, Rotation<HostName>>()
    private val greetingRotation = Rotation<NetworkAddress>(random)
    private val messagesSent = HashMap<HostName, Int>()
    private val seed = random.nextInt()
    private val ownKey = HostKey.of(source.profile())
    private var current: IntervalView? = null
    private var sequence = 0L
    private var intervals = 0L

    /** The messages of one interval, at [now]. */
    public fun tick(now: MonotonicInstant): List<OutgoingGossip> = lock.withLock {
        membership.prune(now)
        sequence += 1
        intervals += 1
        val members = membership.snapshot(now)
        val view = view(members, now)
        current = view
        messagesSent.keys.retainAll(members.filter { it.state != MemberState.GONE }.map { it.profile.name }.toSet())
        greetings(members, now) + zoneMessages(view, now) + linkMessages(view, now)
    }

    /** Messages that tell every host of the own zone, and one host of each other zone, what has just changed. */
    public fun announce(now: MonotonicInstant): List<OutgoingGossip> = lock.withLock {
        sequence += 1
        val live = membership.snapshot(now).filter { it.state != MemberState.GONE }
        val (own, others) = live.partition { it.profile.zone == source.profile().zone }
        val contacts = others.groupBy { it.profile.zone }.values.map { it.first() }
        (own.take(MAXIMUM_ANNOUNCED) + contacts).map { outgoing(it.profile, GossipContent(ownHeartbeat())) }
    }

    /** Takes in [content] at [now]; the messages to be sent in answer. */
    public fun receive(content: GossipContent, now: MonotonicInstant): List<OutgoingGossip> = lock.withLock {
        content.profiles.forEach(membership::learn)
        val own = source.profile()
        if (content.sender.key == ownKey) return emptyList()
        val unknown = takeSigns(content, now)
        val sender = membership.profileOf(content.sender.key) ?: return emptyList()
        takeNews(content, sender, now)
        listOfNotNull(answer(content, sender, unknown, now)).filter { answerBudget.admits(it.content, now) }
    }

    private fun takeSigns(content: GossipContent, now: MonotonicInstant): Set<HostKey> {
        val heartbeats = listOf(content.sender) + content.heartbeats + content.zones.flatMap { it.contacts }
        val others = heartbeats.filter { it.key != ownKey }
        others.forEach { membership.observe(it, now) }
        return others.map { it.key }.filter { membership.profileOf(it) == null && mayAskFor(it) }.toSet()
    }

    /** Asks for the same profile only now and then, since those who told of it may lack it too. */
    private fun mayAskFor(key: HostKey): Boolean {
        val before = wantedAt[key]
        if (before != null && intervals - before < WANTED_EVERY) return false
        if (wantedAt.size >= MAXIMUM_WANTED) wantedAt.clear()
        wantedAt[key] = intervals
        return true
    }

    private fun takeNews(content: GossipContent, sender: HostProfile, now: MonotonicInstant) {
        val zone = source.profile().zone
        val forwards = current?.forwards ?: 0
        content.zones.filter { it.zone != zone }.forEach { summaries.offer(it, forwards, now) }
        if (sender.zone == zone) {
            usage.told(sender.name, content.usage, now)
            content.links.forEach { summaries.linkTold(it, now) }
            return
        }
        val roundTrip = content.echo?.let { now - MonotonicInstant(it) }?.takeIf { !it.isNegative() }
        summaries.linkHeard(sender.zone, roundTrip, now)
    }

    private fun answer(
        content: GossipContent,
        sender: HostProfile,
        unknown: Set<HostKey>,
        now: MonotonicInstant,
    ): OutgoingGossip? {
        val requestedProfiles = content.requestedProfiles.take(MAXIMUM_PROFILES).mapNotNull { membership.profileOf(it) ?: ownProfile(it) }
        val told = if (content.isJoinRequest) listOf(source.profile()) else emptyList()
        val isIdle = unknown.isEmpty() && requestedProfiles.isEmpty() && told.isEmpty() && content.probe == null
        if (isIdle) return null
        val answer = GossipContent(
            sender = ownHeartbeat(),
            heartbeats = if (content.isJoinRequest) heartbeatsOf(sender.zone, now) else heartbeatsOf(requestedProfiles, now),
            profiles = (requestedProfiles + told).toImmutableList(),
            requestedProfiles = unknown.take(MAXIMUM_PROFILES).toImmutableList(),
            echo = content.probe,
        )
        return OutgoingGossip(sender.peerAddress, answer)
    }

    private fun ownProfile(key: HostKey): HostProfile? = source.profile().takeIf { key == ownKey }

    private fun view(members: List<Member>, now: MonotonicInstant): IntervalView {
        val own = source.profile()
        val peers = members.filter { it.profile.zone == own.zone }
        val live = peers.filter { it.state == MemberState.ALIVE }.map { it.profile.name } + own.name
        val told = peers.filter { it.state in TOLD_ON }.sortedByDescending { it.heardAt }
        val speakers = ZoneDutyAssignment.of(own.zone, ZoneDuty.SPEAKER, live, limits.speakers)
        val speaks = own.name in speakers
        return IntervalView(
            peers = peers.filter { it.state != MemberState.GONE }.associate { it.profile.name to it.profile },
            strangers = members.filter { it.profile.zone != own.zone }.groupBy { it.profile.zone },
            heartbeats = told.take(limits.heartbeats).map { it.heartbeat }.toImmutableList(),
            links = if (speaks) summaries.ownLinks(now).toImmutableList() else persistentListOf(),
            speaks = speaks,
            speaksFirst = own.name == speakers.first(),
            forwards = (Int.SIZE_BITS - (live.size - 1).countLeadingZeroBits()).coerceAtMost(live.size - 1),
        )
    }

    private fun zoneMessages(view: IntervalView, now: MonotonicInstant): List<OutgoingGossip> =
        peerRotation.next(view.peers.keys, limits.zoneFanout).mapNotNull { name ->
            zoneMessage(view, view.peers.getValue(name), now)
        }

    private fun zoneMessage(view: IntervalView, receiver: HostProfile, now: MonotonicInstant): OutgoingGossip? {
        val news = summaries.summariesToForward(limits.summaries, now)
        val brief = GossipContent(
            sender = ownHeartbeat(),
            heartbeats = view.heartbeats,
            profiles = profilesFor(receiver, view),
            usage = usage.ofThisHost(limits.accounts),
            links = view.links,
        )
        val addressed = outgoing(receiver, brief)
        val fitting = listOf(news, news.take(1), emptyList()).firstOrNull { chosen ->
            zoneBudget.admits(addressed.content.copy(zones = chosen.toImmutableList()), now)
        } ?: return null
        summaries.forwarded(fitting)
        messagesSent.merge(receiver.name, 1, Int::plus)
        return addressed.copy(content = addressed.content.copy(zones = fitting.toImmutableList()))
    }

    /** A newcomer is sent one profile of the zone with each message until it should know all. */
    private fun profilesFor(receiver: HostProfile, view: IntervalView): ImmutableList<HostProfile> {
        val known = messagesSent[receiver.name] ?: 0
        if (known > PROFILE_MESSAGES) return persistentListOf()
        return profileRotation.next(view.peers.keys - receiver.name, 1).map(view.peers::getValue).toImmutableList()
    }

    private fun ByteBudget.admits(content: GossipContent, now: MonotonicInstant): Boolean {
        val bytes = size.of(content)
        return bytes <= limits.datagramBytes && tryTake(bytes, now)
    }

    private fun linkMessages(view: IntervalView, now: MonotonicInstant): List<OutgoingGossip> {
        if (!view.speaks || (!view.speaksFirst && intervals % SECOND_SPEAKER_EVERY != 0L)) return emptyList()
        return zoneRotation.next(view.strangers.keys, limits.linkFanout).mapNotNull { zone ->
            val receiver = contactOf(zone, view.strangers.getValue(zone))
            val content = GossipContent(
                sender = ownHeartbeat(),
                zones = persistentListOf(ownSummary(view, now)),
                probe = now.nanoseconds,
            )
            outgoing(receiver, content).takeIf { linkBudget.admits(it.content, now) }
                ?.also { messagesSent.merge(receiver.name, 1, Int::plus) }
        }
    }

    private fun contactOf(zone: ZoneName, hosts: List<Member>): HostProfile {
        val live = hosts.filter { it.state == MemberState.ALIVE }.ifEmpty { hosts }
            .associate { it.profile.name to it.profile }
        val rotation = contactRotation.getOrPut(zone) { Rotation(Random(seed)) }
        return live.getValue(rotation.next(live.keys, 1).single())
    }

    private fun greetings(members: List<Member>, now: MonotonicInstant): List<OutgoingGossip> {
        val alone = members.none { it.state == MemberState.ALIVE }
        if (!alone && intervals % limits.greetEvery != 0L) return emptyList()
        val live = members.filter { it.state == MemberState.ALIVE }.map { it.profile.peerAddress }
        val own = source.profile()
        val strangers = (source.seedAddresses() - live.toSet() - own.peerAddress).distinct()
        val content = GossipContent(sender = ownHeartbeat(), profiles = persistentListOf(own), isJoinRequest = true)
        return greetingRotation.next(strangers, if (alone) limits.greetings else 1)
            .map { OutgoingGossip(it, content) }
            .filter { linkBudget.admits(it.content, now) }
    }

    /** Adds the own profile for a receiver that may lack it. */
    private fun outgoing(receiver: HostProfile, content: GossipContent): OutgoingGossip {
        val sent = messagesSent[receiver.name] ?: 0
        val introduces = sent < FIRST_MESSAGES || sent % limits.introduceEvery == 0
        val complete = if (introduces) {
            content.copy(
                profiles = (content.profiles + source.profile()).toImmutableList(),
            )
        } else {
            content
        }
        return OutgoingGossip(receiver.peerAddress, complete)
    }

    private fun ownSummary(view: IntervalView, now: MonotonicInstant): ZoneSummary {
        val own = source.profile()
        return ZoneSummary(
            zone = own.zone,
            region = own.region,
            representative = ownKey,
            sequence = sequence,
            age = Duration.ZERO,
            contacts = (listOf(ownHeartbeat()) + view.heartbeats.take(limits.contacts - 1)).toImmutableList(),
            loads = source.loads(),
            usage = usage.ofThisZone(limits.accounts, now),
        )
    }

    private fun ownHeartbeat(): GossipHeartbeat {
        val own = source.profile()
        return GossipHeartbeat(ownKey, sequence, source.revision(), own.leaving)
    }

    private fun heartbeatsOf(zone: ZoneName, now: MonotonicInstant): ImmutableList<GossipHeartbeat> = membership.snapshot(now)
        .filter { it.profile.zone == zone && it.state in TOLD_ON }
        .sortedByDescending { it.heardAt }
        .take(limits.heartbeats)
        .map { it.heartbeat }
        .toImmutableList()

    private fun heartbeatsOf(profiles: List<HostProfile>, now: MonotonicInstant): ImmutableList<GossipHeartbeat> {
        val names = profiles.map { it.name }.toSet()
        return membership.snapshot(now)
            .filter { it.profile.name in names && it.state in TOLD_ON }
            .map { it.heartbeat }
            .toImmutableList()
    }

    private companion object {
        const val MAXIMUM_PROFILES = 2
        const val MAXIMUM_ANNOUNCED = 32
        const val FIRST_MESSAGES = 2
        const val PROFILE_MESSAGES = 12
        const val WANTED_EVERY = 2
        const val MAXIMUM_WANTED = 1_024
        const val SECOND_SPEAKER_EVERY = 4L
        const val ZONE_SHARE = 0.4
        const val LINK_SHARE = 0.35
        const val ANSWER_SHARE = 0.25
        val TOLD_ON = setOf(MemberState.ALIVE, MemberState.LEAVING)
    }
}
