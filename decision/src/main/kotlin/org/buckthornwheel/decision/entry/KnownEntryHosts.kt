/*
 * The entry hosts that a host knows, and what it last heard of each.
 *
 * Names come from the platform's store and from heartbeats; only heartbeats tell who is alive. A registration that
 * lapsed while the store was disturbed therefore changes nothing.
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

/** The known entry hosts besides [self]. */
public class KnownEntryHosts(private val self: EntryHostProfile) {
    private class Known(var host: EntryHostProfile, val heardAt: MonotonicInstant?, val isReady: Boolean, val life: Duration)

    private val lock = Any()
    private val known = HashMap<HostName, Known>()
    private var view: EntryHostSnapshot? = null

    /** Adds a host that the store lists; a heartbeat has to show that it is alive. */
    public fun addRegistered(host: EntryHostProfile): Unit = synchronized(lock) {
        if (host.name == self.name) return@synchronized
        val present = known[host.name]
        when {
            present == null -> known[host.name] = Known(host, null, isReady = false, Duration.ZERO)
            present.host.incarnation < host.incarnation -> present.host = host
        }
        view = null
    }

    /** The store lists the host [name] no longer; one that was heard goes on counting until it falls silent. */
    public fun removeRegistered(name: HostName): Unit = synchronized(lock) {
        if (known[name]?.heardAt == null) known.remove(name)
        view = null
    }

    /**
     * Notes a heartbeat of [host], which sends the next one after [interval].
     *
     * @return whether the host was not alive before.
     */
    public fun recordHeartbeat(host: EntryHostProfile, isReady: Boolean, interval: Duration, now: MonotonicInstant): Boolean =
        synchronized(lock) {
            if (host.name == self.name) return false
            val present = known[host.name]
            if (present != null && present.host.incarnation > host.incarnation) return false
            val wasAlive = present != null && isAlive(present, now)
            known[host.name] = Known(host, now, isReady, maxOf(LEAST_LIFE, interval * MISSED_HEARTBEATS))
            if (!wasAlive || present.isReady != isReady) view = null
            !wasAlive
        }

    /** Forgets hosts that were not heard for so long that they must have been replaced. */
    public fun removeExpired(now: MonotonicInstant): Unit = synchronized(lock) {
        known.values.removeIf { entry -> entry.heardAt?.let { now - it > FORGET_AFTER } ?: false }
    }

    /** All known hosts, alive or not. */
    public fun all(): List<EntryHostProfile> = synchronized(lock) { known.values.map { it.host } }

    /** Hosts that are alive and ready at [now]. */
    public fun ready(now: MonotonicInstant): List<EntryHostProfile> = view(now).ready

    /** The hosts of [region] to which requests are passed on. */
    public fun primaries(region: RegionName, now: MonotonicInstant): List<EntryHostProfile> =
        view(now).primaries.filter { it.region == region }

    /** Whether this host stands by while primary hosts of its region are alive, and learns what these know. */
    public fun followsPrimaries(now: MonotonicInstant): Boolean {
        val current = view(now)
        if (self in current.primaries) return false
        return current.ready.any { it.region == self.region && it in current.primaries }
    }

    /** Regions other than the own one with a host that may take requests. */
    public fun reachableRegions(now: MonotonicInstant): Set<RegionName> = view(now).reachableRegions

    /** How often each known host should hear of this one at [now], which is [busy] if it has requests in progress. */
    public fun heartbeatIntervals(busy: Boolean, now: MonotonicInstant): Map<EntryHostProfile, Duration> {
        val current = view(now)
        val rules = HeartbeatIntervals(self, current.primaries, busy)
        return current.known.mapNotNull { (host) -> rules.towards(host)?.let { host to it } }.toMap()
    }

    /** Whether this host is one of the [COLD_REPLICA_HOSTS] primary hosts of its region that may use a cold [replica]. */
    public fun mayUseColdReplica(replica: ReplicaId, now: MonotonicInstant): Boolean {
        val own = view(now).primaries.filter { it.region == self.region }
        return RendezvousHash.order(replica.value, own) { it.name.value }.take(COLD_REPLICA_HOSTS).any { it == self }
    }

    /**
     * The hosts of [region], or of all regions, that may share a budget at [now], this one included.
     *
     * A host that was only listed or fell silent lately counts too, as it may be cut off and go on working.
     */
    public fun budgetSharers(now: MonotonicInstant, region: RegionName?): Int = synchronized(lock) {
        1 + known.values.count { entry ->
            val heardAt = entry.heardAt
            val mayBeAlive = heardAt == null || now - heardAt < SHARES_FOR
            mayBeAlive && (region == null || entry.host.region == region)
        }
    }

    /**
     * The hosts that a caller of [zone] in [region] should use, when all that it may ask for is bound to [homes].
     *
     * @param selfReady whether this host takes callers itself.
     */
    public fun hostsForCaller(
        zone: ZoneName?,
        region: RegionName?,
        homes: Set<RegionName>,
        selfReady: Boolean,
        now: MonotonicInstant,
    ): List<EntryHostProfile> {
        val usable = if (selfReady) ready(now) + self else ready(now)
        val choices = listOf<(EntryHostProfile) -> Boolean>(
            { it.zone == zone },
            { it.region == region },
            { it.region in homes },
            { it.region == self.region },
            { true },
        )
        val nearest = choices.firstNotNullOfOrNull { choice -> usable.filter(choice).ifEmpty { null } }
        return PrimaryHosts.of(nearest.orEmpty())
    }

    private fun isAlive(entry: Known, now: MonotonicInstant): Boolean =
        entry.heardAt?.let { now - it <= entry.life } ?: false

    private fun view(now: MonotonicInstant): EntryHostSnapshot = synchronized(lock) {
        val present = view
        if (present != null && now >= present.at && now - present.at < VIEW_LIFE) return present
        EntryHostSnapshot.of(self, now, known.values.map { EntryHostStatus(it.host, isHeardAt(it, now), isReadyAt(it, now)) })
            .also { view = it }
    }

    private fun isHeardAt(entry: Known, now: MonotonicInstant): Boolean =
        entry.heardAt?.let { now - it < SHARES_FOR } ?: false

    private fun isReadyAt(entry: Known, now: MonotonicInstant): Boolean = entry.isReady && isAlive(entry, now)

    /** Bounds. */
    public companion object {
        /** Hosts that share the pace of a cold replica: with one alone, its end would leave the replica unused. */
        public const val COLD_REPLICA_HOSTS: Int = 3

        /** Silence after which a host is taken to be dead at the soonest; several heartbeats, as datagrams get lost. */
        private val LEAST_LIFE = 1_500.milliseconds

        /** Heartbeats that may be missed before a host is taken to be dead. */
        private const val MISSED_HEARTBEATS = 3

        /** Silence after which a host no longer counts for shared budgets; longer than a usual cut. */
        private val SHARES_FOR = 15.seconds

        /** Silence after which a host gets no more heartbeats. */
        private val FORGET_AFTER = 120.seconds

        /** Age up to which a view of all hosts is used again; small against the silence that makes a host dead. */
        private val VIEW_LIFE = 50.milliseconds
    }
}
