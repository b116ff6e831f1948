package org.buckthornwheel.decision.membership

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.admission.AccountUsage
import org.buckthornwheel.decision.routing.RemoteZoneStates
import org.buckthornwheel.decision.routing.WorkName
import org.buckthornwheel.decision.routing.ZoneLoad
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/**
 * Stores the newest summary of each other zone and the state of the links to it.
 *
 * Summaries of the same representative are ordered by sequence number, those of different representatives by creation
 * time. Two representatives at the same time therefore only cause more frequent summaries.
 *
 * @property unreachableAfter silence on every link after which a zone counts as unreachable.
 * @property interval time between two messages of a representative.
 * @property staleAfter age above which the usage in a summary is no longer counted.
 */
public class ZoneSummaries(
    private val clock: MonotonicClock,
    private val unreachableAfter: Duration,
    private val staleAfter: Duration,
    private val interval: Duration,
) : RemoteZoneStates {
    private val summaries = ConcurrentHashMap<ZoneName, StoredSummary>()
    private val lastForwardTurn = ConcurrentHashMap<ZoneName, Long>()
    private val turn = AtomicLong()
    private val links = ConcurrentHashMap<ZoneName, MeasuredLink>()

    /** Stores [summary], received at [now], to be forwarded [remainingForwards] times; false if it is not newer. */
    internal fun applySummary(summary: ZoneSummary, remainingForwards: Int, now: MonotonicInstant): Boolean {
        val received = StoredSummary(summary, now + -summary.age, remainingForwards)
        val stored = summaries.merge(summary.zone, received) { known, new ->
            if (new.isNewerThan(known)) new else known
        }
        return stored === received
    }

    /** At most [count] summaries to forward, least recently forwarded zone first. */
    internal fun summariesToForward(count: Int, now: MonotonicInstant): List<ZoneSummary> = summaries.values
        .filter { it.remainingForwards > 0 }
        .sortedBy { lastForwardTurn[it.summary.zone] ?: 0 }
        .take(count)
        .map { it.summary.copy(age = now - it.createdAt) }

    /** Records that each summary in [sent] was forwarded once. */
    internal fun recordForwarded(sent: Collection<ZoneSummary>): Unit = sent.forEach { summary ->
        lastForwardTurn[summary.zone] = turn.incrementAndGet()
        summaries.computeIfPresent(summary.zone) { _, known ->
            known.copy(remainingForwards = known.remainingForwards - 1)
        }
    }

    /** Records a message from [zone] that this host received at [now]; [roundTrip] is null if it was not measured. */
    internal fun recordDirectLink(zone: ZoneName, roundTrip: Duration?, now: MonotonicInstant) {
        links.merge(zone, MeasuredLink(roundTrip, now, now)) { known, new ->
            new.copy(roundTrip = new.roundTrip ?: known.roundTrip)
        }
    }

    /** Records that a representative of the own zone reported [link] at [now]. */
    internal fun recordReportedLink(link: LinkRoundTrip, now: MonotonicInstant) {
        links.merge(link.zone, MeasuredLink(link.roundTrip, now, null)) { known, new ->
            new.copy(heardDirectlyAt = known.heardDirectlyAt)
        }
    }

    /**
     * The links over which this host itself received a message recently.
     *
     * Links reported by other hosts are left out: hosts would keep reporting a dead link to each other.
     */
    internal fun linksHeardDirectly(now: MonotonicInstant): List<LinkRoundTrip> = links
        .filterValues { link -> link.heardDirectlyAt?.let { now - it <= silenceLimit() / 2 } ?: false }
        .mapNotNull { (zone, link) -> link.roundTrip?.let { LinkRoundTrip(zone, it) } }

    /** The usage of [account] in each other zone, by its newest summary. */
    internal fun usageOf(account: AccountName, now: MonotonicInstant): List<AccountUsage> = summaries.values
        .filter { now - it.createdAt <= staleAfter }
        .mapNotNull { known -> known.summary.usage.firstOrNull { it.account == account }?.usage }

    override fun load(zone: ZoneName, work: WorkName): ZoneLoad? {
        val known = summaries[zone] ?: return null
        val load = known.summary.loads.firstOrNull { it.work == work } ?: return null
        val age = clock.now() - known.createdAt
        return ZoneLoad(load.usableTargets, load.capacity, load.running, load.waiting, age)
    }

    override fun roundTrip(zone: ZoneName): Duration? = links[zone]?.roundTrip

    override fun isReachable(zone: ZoneName): Boolean {
        val link = links[zone] ?: return false
        return clock.now() - link.heardAt <= silenceLimit()
    }

    /** The limit grows with the number of zones, since a representative sends to only a few zones in each interval. */
    private fun silenceLimit(): Duration = unreachableAfter + interval * links.size

    private data class MeasuredLink(
        val roundTrip: Duration?,
        val heardAt: MonotonicInstant,
        val heardDirectlyAt: MonotonicInstant?,
    )

    private data class StoredSummary(
        val summary: ZoneSummary,
        val createdAt: MonotonicInstant,
        val remainingForwards: Int,
    ) {
        fun isNewerThan(other: StoredSummary): Boolean = if (summary.representative == other.summary.representative) {
            summary.sequence > other.summary.sequence
        } else {
            createdAt > other.createdAt
        }
    }
}
