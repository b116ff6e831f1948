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
 * The newest summary of each other zone, and the links to it.
 *
 * Summaries of one speaker are ordered by its sequence, those of two speakers by the time at which they were
 * made, so that two speakers at once only make the summaries come more often.
 *
 * @property unreachableAfter silence on every link after which a zone counts as unreachable.
 * @property interval time between two messages of a speaker.
 * @property staleAfter age at which a summary's usage is no longer counted.
 */
public class ZoneSummaries(
    private val clock: MonotonicClock,
    private val unreachableAfter: Duration,
    private val staleAfter: Duration,
    private val interval: Duration,
) : RemoteZoneStates {
    private val held = ConcurrentHashMap<ZoneName, HeldSummary>()
    private val turns = ConcurrentHashMap<ZoneName, Long>()
    private val turn = AtomicLong()
    private val links = ConcurrentHashMap<ZoneName, MeasuredLink>()

    /** Takes in [summary], heard at [now], to be told on [forwards] times; false if it is not news. */
    internal fun offer(summary: ZoneSummary, forwards: Int, now: MonotonicInstant): Boolean {
        val offered = HeldSummary(summary, now + -summary.age, forwards)
        val kept = held.merge(summary.zone, offered) { known, new -> if (new.isNewerThan(known)) new else known }
        return kept === offered
    }

    /** At most [count] summaries that should be told on, those first whose zone has waited longest. */
    internal fun toForward(count: Int, now: MonotonicInstant): List<ZoneSummary> = held.values
        .filter { it.forwards > 0 }
        .sortedBy { turns[it.summary.zone] ?: 0 }
        .take(count)
        .map { it.summary.copy(age = now - it.madeAt) }

    /** Notes that [summaries] were told on once. */
    internal fun forwarded(summaries: Collection<ZoneSummary>): Unit = summaries.forEach { summary ->
        turns[summary.zone] = turn.incrementAndGet()
        held.computeIfPresent(summary.zone) { _, known -> known.copy(forwards = known.forwards - 1) }
    }

    /** Takes in that this host heard one of [zone] at [now]; [roundTrip] is null if it was not measured. */
    internal fun linkHeard(zone: ZoneName, roundTrip: Duration?, now: MonotonicInstant) {
        links.merge(zone, MeasuredLink(roundTrip, now, now)) { known, new ->
            new.copy(roundTrip = new.roundTrip ?: known.roundTrip)
        }
    }

    /** Takes in that a speaker of the own zone said at [now] that it hears [link]. */
    internal fun linkTold(link: LinkRoundTrip, now: MonotonicInstant) {
        links.merge(link.zone, MeasuredLink(link.roundTrip, now, null)) { known, new ->
            new.copy(heardHereAt = known.heardHereAt)
        }
    }

    /** The links that this host itself heard within the limit; hearsay is left out, lest it outlive the link. */
    internal fun ownLinks(now: MonotonicInstant): List<LinkRoundTrip> = links
        .filterValues { link -> link.heardHereAt?.let { now - it <= silenceLimit() / 2 } ?: false }
        .mapNotNull { (zone, link) -> link.roundTrip?.let { LinkRoundTrip(zone, it) } }

    /** What [account] uses in all other zones, by their newest summaries. */
    internal fun usageOf(account: AccountName, now: MonotonicInstant): List<AccountUsage> = held.values
        .filter { now - it.madeAt <= staleAfter }
        .mapNotNull { known -> known.summary.usage.firstOrNull { it.account == account }?.usage }

    override fun load(zone: ZoneName, work: WorkName): ZoneLoad? {
        val known = held[zone] ?: return null
        val load = known.summary.loads.firstOrNull { it.work == work } ?: return null
        val age = clock.now() - known.madeAt
        return ZoneLoad(load.usableTargets, load.capacity, load.running, load.waiting, age)
    }

    override fun roundTrip(zone: ZoneName): Duration? = links[zone]?.roundTrip

    override fun isReachable(zone: ZoneName): Boolean {
        val link = links[zone] ?: return false
        return clock.now() - link.heardAt <= silenceLimit()
    }

    /** A speaker sends to a few zones each interval, so that each is heard the less often the more there are. */
    private fun silenceLimit(): Duration = unreachableAfter + interval * links.size

    private data class MeasuredLink(
        val roundTrip: Duration?,
        val heardAt: MonotonicInstant,
        val heardHereAt: MonotonicInstant?,
    )

    private data class HeldSummary(val summary: ZoneSummary, val madeAt: MonotonicInstant, val forwards: Int) {
        fun isNewerThan(other: HeldSummary): Boolean = if (summary.speaker == other.summary.speaker) {
            summary.sequence > other.summary.sequence
        } else {
            madeAt > other.madeAt
        }
    }
}
