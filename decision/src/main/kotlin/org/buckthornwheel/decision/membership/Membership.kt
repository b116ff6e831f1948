package org.buckthornwheel.decision.membership

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.ZoneName
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Who is alive, suspected, leaving or gone, as this host sees it.
 *
 * A member is known by its newest incarnation; news of an older one is ignored. Silence makes a member
 * suspected and then gone, and any newer sign of life clears that again. It only ever steers routing: it is
 * no proof that the process has ended.
 */
public class Membership(private val limits: MembershipLimits, private val ownZone: ZoneName? = null) {
    private val lock = ReentrantLock()
    private val members = HashMap<HostName, Member>()
    private val profiles = object : LinkedHashMap<HostKey, HostProfile>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<HostKey, HostProfile>): Boolean =
            size > MAXIMUM_PROFILES
    }

    /** Remembers what [profile]'s key stands for; says nothing of whether that host lives. */
    public fun learn(profile: HostProfile): Unit = lock.withLock { profiles[HostKey.of(profile)] = profile }

    /** The profile behind [key]; null if it was never learned. */
    public fun profileOf(key: HostKey): HostProfile? = lock.withLock { profiles[key] }

    /** Takes in a sign of life of another host, heard at [now]; false if it is older than what is known. */
    public fun observe(
        profile: HostProfile,
        sequence: Long,
        now: MonotonicInstant,
        revision: Revision = Revision.NONE,
    ): Boolean = lock.withLock {
        val known = members[profile.name]
        if (known != null && !isNewer(known, profile, sequence)) return false
        val sameRun = known?.takeIf { it.profile.incarnation == profile.incarnation }
        val key = sameRun?.key ?: HostKey.of(profile)
        members[profile.name] = Member(profile, key, sequence, revision, now, MemberState.ALIVE)
        true
    }

    /** Takes in [sign], heard at [now]; false if it is older than what is known or its profile is not known. */
    public fun observe(heartbeat: GossipHeartbeat, now: MonotonicInstant): Boolean {
        val profile = profileOf(heartbeat.key) ?: return false
        return observe(profile.copy(leaving = heartbeat.leaving), heartbeat.sequence, now, heartbeat.revision)
    }

    /** Drops members that have been gone for longer than the limits keep them. */
    public fun prune(now: MonotonicInstant): Unit = lock.withLock {
        members.values.removeIf { now - it.heardAt > limits.forgetAfter }
    }

    /** Every known member with its state at [now], by name. */
    public fun snapshot(now: MonotonicInstant): ImmutableList<Member> = lock.withLock {
        val ownZoneHosts = members.values.count { it.profile.zone == ownZone }
        val zones = members.values.map { it.profile.zone }.distinct().size
        members.values
            .map { it.copy(state = stateOf(it, now, ownZoneHosts, zones)) }
            .sortedBy { it.profile.name.value }
            .toImmutableList()
    }

    /** The members of [zone] that may be given work at [now]. */
    public fun usable(zone: ZoneName, now: MonotonicInstant): List<Member> =
        snapshot(now).filter { it.profile.zone == zone && it.state == MemberState.ALIVE }

    private fun isNewer(known: Member, profile: HostProfile, sequence: Long): Boolean {
        val difference = profile.incarnation.compareTo(known.profile.incarnation)
        return difference > 0 || (difference == 0 && sequence > known.sequence)
    }

    private fun stateOf(member: Member, now: MonotonicInstant, ownZoneHosts: Int, zones: Int): MemberState {
        val local = ownZone == null || member.profile.zone == ownZone
        val silent = now - member.heardAt - limits.spreadTime(ownZoneHosts, if (local) 0 else zones)
        return when {
            silent > limits.goneAfter -> MemberState.GONE
            member.profile.leaving -> MemberState.LEAVING
            silent > limits.suspectAfter -> MemberState.SUSPECTED
            else -> MemberState.ALIVE
        }
    }

    private companion object {
        const val MAXIMUM_PROFILES = 4_096
    }
}
