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
 * Failure detector: tracks which hosts are alive, suspected, leaving or gone, as seen by this host.
 *
 * Only the newest incarnation of a member counts; heartbeats of an older one are ignored. Without heartbeats a member
 * becomes suspected and then gone; a newer heartbeat makes it alive again. The state is used for routing only: it does
 * not prove that the process has ended.
 */
public class Membership(private val limits: MembershipLimits, private val ownZone: ZoneName? = null) {
    private val lock = ReentrantLock()
    private val members = HashMap<HostName, Member>()
    private val profiles = object : LinkedHashMap<HostKey, HostProfile>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<HostKey, HostProfile>): Boolean =
            size > MAXIMUM_PROFILES
    }

    /** Stores [profile] under its key; this does not make the host count as alive. */
    public fun storeProfile(profile: HostProfile): Unit = lock.withLock { profiles[HostKey.of(profile)] = profile }

    /** The profile that [key] identifies; null if it is not stored. */
    public fun profileOf(key: HostKey): HostProfile? = lock.withLock { profiles[key] }

    /** Applies a heartbeat of another host that arrived at [now]; false if it is not newer than the known one. */
    public fun applyHeartbeat(
        profile: HostProfile,
        sequence: Long,
        now: MonotonicInstant,
        revision: Revision = Revision.NONE,
    ): Boolean = lock.withLock {
        val known = members[profile.name]
        if (known != null && !isNewer(known, profile, sequence)) return false
        val sameIncarnation = known?.takeIf { it.profile.incarnation == profile.incarnation }
        val key = sameIncarnation?.key ?: HostKey.of(profile)
        members[profile.name] = Member(profile, key, sequence, revision, now, MemberState.ALIVE)
        true
    }

    /** Applies [heartbeat], which arrived at [now]; false if it is not newer or the profile of its host is unknown. */
    public fun applyHeartbeat(heartbeat: GossipHeartbeat, now: MonotonicInstant): Boolean {
        val profile = profileOf(heartbeat.key) ?: return false
        return applyHeartbeat(profile.copy(leaving = heartbeat.leaving), heartbeat.sequence, now, heartbeat.revision)
    }

    /** Removes members that have been silent for longer than [MembershipLimits.forgetAfter]. */
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
        val silence = now - member.heardAt - limits.disseminationTime(ownZoneHosts, if (local) 0 else zones)
        return when {
            silence > limits.goneAfter -> MemberState.GONE
            member.profile.leaving -> MemberState.LEAVING
            silence > limits.suspectAfter -> MemberState.SUSPECTED
            else -> MemberState.ALIVE
        }
    }

    private companion object {
        const val MAXIMUM_PROFILES = 4_096
    }
}
