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
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The known entry hosts besides [self]. */
public class EntryHosts(private val self: EntryHost) {
    private class Known(var host: EntryHost, var heardAt: MonotonicInstant?, var isReady: Boolean)

    private val lock = Any()
    private val known = HashMap<HostName, Known>()

    /** Adds a host that the store lists; a heartbeat has to show that it is alive. */
    public fun listed(host: EntryHost): Unit = synchronized(lock) {
        if (host.name == self.name) return@synchronized
        val present = known[host.name]
        when {
            present == null -> known[host.name] = Known(host, null, isReady = false)
            present.host.incarnation < host.incarnation -> present.host = host
        }
    }

    /** The store lists the host [name] no longer; one that was heard goes on counting until it falls silent. */
    public fun unlisted(name: HostName): Unit = synchronized(lock) {
        if (known[name]?.heardAt == null) known.remove(name)
    }

    /** Notes a heartbeat of [host]; true if the host was not alive before. */
    public fun heard(host: EntryHost, isReady: Boolean, now: MonotonicInstant): Boolean = synchronized(lock) {
        if (host.name == self.name) return false
        val present = known[host.name]
        if (present != null && present.host.incarnation > host.incarnation) return false
        val wasAlive = present != null && isAlive(present, now)
        known[host.name] = Known(host, now, isReady)
        !wasAlive
    }

    /** Forgets hosts that were not heard for so long that they must have been replaced. */
    public fun forgetOld(now: MonotonicInstant): Unit = synchronized(lock) {
        known.values.removeIf { entry -> entry.heardAt?.let { now - it > FORGET_AFTER } ?: false }
    }

    /** All known hosts, alive or not; heartbeats go to them. */
    public fun all(): List<EntryHost> = synchronized(lock) { known.values.map { it.host } }

    /** Hosts that are alive and ready at [now]. */
    public fun ready(now: MonotonicInstant): List<EntryHost> =
        synchronized(lock) { known.values.filter { it.isReady && isAlive(it, now) }.map { it.host } }

    /** Regions other than the own one with a ready host. */
    public fun reachableRegions(now: MonotonicInstant): Set<RegionName> =
        ready(now).mapTo(HashSet()) { it.region }.also { it.remove(self.region) }

    /**
     * The hosts of [region], or of all regions, that may share a budget at [now], this one included.
     *
     * A host that was only listed or fell silent lately counts too, as it may be cut off and go on working.
     */
    public fun sharers(now: MonotonicInstant, region: RegionName?): Int = synchronized(lock) {
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
    public fun directory(
        zone: ZoneName?,
        region: RegionName?,
        homes: Set<RegionName>,
        selfReady: Boolean,
        now: MonotonicInstant,
    ): List<EntryHost> {
        val usable = if (selfReady) ready(now) + self else ready(now)
        val choices = listOf<(EntryHost) -> Boolean>(
            { it.zone == zone },
            { it.region == region },
            { it.region in homes },
            { it.region == self.region },
            { true },
        )
        return choices.firstNotNullOfOrNull { choice -> usable.filter(choice).ifEmpty { null } }.orEmpty()
    }

    private fun isAlive(entry: Known, now: MonotonicInstant): Boolean =
        entry.heardAt?.let { now - it <= ALIVE_FOR } ?: false

    private companion object {
        /** Silence after which a host is taken to be dead; several heartbeats, as datagrams get lost. */
        val ALIVE_FOR = 1_500.milliseconds

        /** Silence after which a host no longer counts for shared budgets; longer than a usual cut. */
        val SHARES_FOR = 15.seconds

        /** Silence after which a host gets no more heartbeats. */
        val FORGET_AFTER = 120.seconds
    }
}
