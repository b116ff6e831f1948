/*
 * The entry hosts known to a host, with their liveness.
 *
 * Hosts are found through the platform's store and through heartbeats, but only heartbeats show that a host is alive.
 * A registration that expires while the store is failing therefore has no effect.
 */

package org.buckthornwheel.decision.entry

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.decision.routing.RendezvousHash
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tracks the known entry hosts other than [self]. */
public class KnownEntryHosts(private val self: EntryHostProfile) {
    /** The region of this host. */
    public val region: RegionName get() = self.region

    /** The name of this host. */
    public val name: HostName get() = self.name

    private class Entry(
        var host: EntryHostProfile,
        val heardAt: MonotonicInstant?,
        val isReady: Boolean,
        val aliveFor: Duration,
        var isRegistered: Boolean,
        val refusesAccounts: Boolean = false,
    )

    private val lock = Any()
    private val known = HashMap<HostName, Entry>()
    private var snapshot: EntryHostSnapshot? = null

    /** Adds a host that is registered in the store; it counts as alive only after its first heartbeat. */
    public fun addRegistered(host: EntryHostProfile): Unit = synchronized(lock) {
        if (host.name == self.name) return@synchronized
        val present = known[host.name]
        if (present == null) {
            known[host.name] = Entry(host, null, isReady = false, Duration.ZERO, isRegistered = true)
        } else {
            present.isRegistered = true
            if (present.host.incarnation < host.incarnation) present.host = host
        }
        snapshot = null
    }

    /**
     * Records that the host [name] is no longer registered in the store.
     *
     * A host of which a heartbeat has arrived is kept and counts until it falls silent.
     */
    public fun removeRegistered(name: HostName): Unit = synchronized(lock) {
        known[name]?.isRegistered = false
        if (known[name]?.heardAt == null) known.remove(name)
        snapshot = null
    }

    /**
     * Records a heartbeat of [host], which will send the next one after [interval].
     *
     * @param refusesAccounts whether the host rejects requests of client accounts.
     * @return whether the host was not alive before.
     */
    public fun recordHeartbeat(
        host: EntryHostProfile,
        isReady: Boolean,
        interval: Duration,
        now: MonotonicInstant,
        refusesAccounts: Boolean = false,
    ): Boolean = synchronized(lock) {
        if (host.name == self.name) return false
        val present = known[host.name]
        if (present != null && present.host.incarnation > host.incarnation) return false
        val wasAlive = present != null && isAlive(present, now)
        val aliveFor = maxOf(MINIMUM_DEAD_AFTER, interval * MISSED_HEARTBEATS)
        known[host.name] =
            Entry(host, now, isReady, aliveFor, isRegistered = present?.isRegistered ?: false, refusesAccounts)
        if (!wasAlive || present.isReady != isReady || present.refusesAccounts != refusesAccounts) snapshot = null
        !wasAlive
    }

    /** Records that [host] announced its stop in a response; the heartbeat that says so may be lost. */
    public fun recordStopping(host: EntryHostProfile, now: MonotonicInstant) {
        recordHeartbeat(host, isReady = false, Duration.ZERO, now)
    }

    /** Removes hosts that have been silent for so long that they must have been replaced. */
    public fun removeExpired(now: MonotonicInstant): Unit = synchronized(lock) {
        val isRemoved = known.values.removeIf { entry ->
            !entry.isRegistered && entry.heardAt?.let { now - it > FORGET_AFTER } ?: false
        }
        if (isRemoved) snapshot = null
    }

    /** All known hosts, alive or not. */
    public fun all(): List<EntryHostProfile> = synchronized(lock) { known.values.map { it.host } }

    /** The host [name], alive or not; null if it is not known. */
    public fun find(name: HostName): EntryHostProfile? = synchronized(lock) { known[name]?.host }

    /** Hosts that are alive and ready at [now]. */
    public fun ready(now: MonotonicInstant): List<EntryHostProfile> = snapshot(now).ready

    /** The other hosts that may be working at [now], even if they cannot be heard. */
    public fun possiblyAlive(now: MonotonicInstant): List<EntryHostProfile> = snapshot(now).possiblyAlive

    /** Whether another host that is alive and ready accepts requests of client accounts. */
    public fun hasAcceptingHost(now: MonotonicInstant): Boolean = snapshot(now).accepting.isNotEmpty()

    /** The hosts of [region] to which requests are forwarded. */
    public fun primaries(region: RegionName, now: MonotonicInstant): List<EntryHostProfile> =
        snapshot(now).forwardingTargets.filter { it.region == region }

    /** Whether this host is a standby host that follows a primary host of its region from which heartbeats arrive. */
    public fun followsPrimaries(now: MonotonicInstant): Boolean {
        val current = snapshot(now)
        if (self in current.primaries) return false
        return current.ready.any { it.region == self.region && it in current.primaries && isFollowed(it.name, now) }
    }

    private fun isFollowed(name: HostName, now: MonotonicInstant): Boolean = synchronized(lock) {
        known[name]?.heardAt?.let { now - it < FOLLOWED_SILENCE } ?: false
    }

    /** The other regions that have a host to which requests may be forwarded. */
    public fun reachableRegions(now: MonotonicInstant): Set<RegionName> = snapshot(now).reachableRegions

    /** The heartbeat interval to each known host at [now]; [busy] is whether this host has requests in progress. */
    public fun heartbeatIntervals(busy: Boolean, now: MonotonicInstant): Map<EntryHostProfile, Duration> {
        val current = snapshot(now)
        val intervals = HeartbeatIntervals(self, current.primaries, busy)
        return current.known.mapNotNull { (host) -> intervals.intervalTo(host)?.let { host to it } }.toMap()
    }

    /** Whether this host is one of the [COLD_REPLICA_HOSTS] hosts of its region that may use a cold [replica]. */
    public fun mayUseColdReplica(replica: ReplicaId, now: MonotonicInstant): Boolean =
        self in ColdReplicaHosts.of(replica, snapshot(now).coldReplicaCandidates)

    /** Whether this host is the one that probes the quarantined prompt [part]. */
    public fun mayProbe(part: String, now: MonotonicInstant): Boolean =
        self == RendezvousHash.order(part, snapshot(now).primaries) { it.name.value }.firstOrNull()

    /** The number of hosts of [region], or of all regions, that may share a budget at [now], this one included. */
    public fun budgetSharers(now: MonotonicInstant, region: RegionName?): Int =
        1 + snapshot(now).possiblyAlive.count { region == null || it.region == region }

    /**
     * The hosts that a caller in [zone] of [region] should use. Hosts that reject requests of client accounts are named
     * only if all ready hosts do.
     *
     * @param homes the regions to which all routes of the caller are restricted; empty without a restriction.
     * @param selfReady whether this host itself serves callers.
     * @param selfRefusesAccounts whether this host itself rejects requests of client accounts.
     * @param isConfined whether only hosts of the caller's region and of [homes] are named.
     */
    public fun hostsForCaller(
        zone: ZoneName?,
        region: RegionName?,
        homes: Set<RegionName>,
        selfReady: Boolean,
        now: MonotonicInstant,
        selfRefusesAccounts: Boolean = false,
        isConfined: Boolean = false,
    ): List<EntryHostProfile> {
        val current = snapshot(now)
        val accepting = if (selfReady && !selfRefusesAccounts) current.accepting + self else current.accepting
        val usable = accepting.ifEmpty { if (selfReady) current.ready + self else current.ready }
        val permitted = if (isConfined) usable.filter { it.region == region || it.region in homes } else usable
        val preferences = listOf<(EntryHostProfile) -> Boolean>(
            { it.zone == zone },
            { it.region == region },
            { it.region in homes },
            { it.region == self.region },
            { true },
        )
        val nearest = preferences.firstNotNullOfOrNull { preference -> permitted.filter(preference).ifEmpty { null } }
        return PrimaryHosts.of(nearest.orEmpty())
    }

    private fun isAlive(entry: Entry, now: MonotonicInstant): Boolean =
        entry.heardAt?.let { now - it <= entry.aliveFor } ?: false

    internal fun snapshot(now: MonotonicInstant): EntryHostSnapshot = synchronized(lock) {
        val present = snapshot
        if (present != null && now >= present.at && now - present.at < SNAPSHOT_MAX_AGE) return present
        EntryHostSnapshot.of(self, now, known.values.map { statusAt(it, now) }).also { snapshot = it }
    }

    private fun statusAt(entry: Entry, now: MonotonicInstant): EntryHostStatus {
        val isHeard = isHeardAt(entry, now)
        val isDeclining = isHeard && !entry.isReady
        val isReady = isReadyAt(entry, now)
        return EntryHostStatus(entry.host, isHeard, isReady, isDeclining, entry.isRegistered, entry.refusesAccounts)
    }

    private fun isHeardAt(entry: Entry, now: MonotonicInstant): Boolean =
        entry.heardAt?.let { now - it < BUDGET_SHARE_SILENCE } ?: false

    private fun isReadyAt(entry: Entry, now: MonotonicInstant): Boolean = entry.isReady && isAlive(entry, now)

    /** Limits and timeouts. */
    public companion object {
        /** Hosts that share the request rate of a cold replica; a single one that fails would leave it idle. */
        public const val COLD_REPLICA_HOSTS: Int = ColdReplicaHosts.MAXIMUM

        /** Minimum silence after which a host counts as dead; several heartbeats, since datagrams get lost. */
        private val MINIMUM_DEAD_AFTER = 1_500.milliseconds

        /** Silence of a primary host after which a standby host reads the store itself; it must not miss a change. */
        private val FOLLOWED_SILENCE = 1_500.milliseconds

        /** Missed heartbeats after which a host counts as dead. */
        private const val MISSED_HEARTBEATS = 3

        /** Silence after which a host no longer counts for shared budgets; longer than a typical network partition. */
        private val BUDGET_SHARE_SILENCE = 15.seconds

        /** Silence after which a host is removed and is sent no more heartbeats. */
        private val FORGET_AFTER = 120.seconds

        /** Maximum age of a reused snapshot; small compared to the silence after which a host counts as dead. */
        private val SNAPSHOT_MAX_AGE = 50.milliseconds
    }
}
