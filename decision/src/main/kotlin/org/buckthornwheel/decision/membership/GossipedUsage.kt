package org.buckthornwheel.decision.membership

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.admission.AccountUsage
import org.buckthornwheel.decision.admission.LocalUsage
import org.buckthornwheel.decision.admission.RemoteUsage
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/**
 * The usage of accounts at other hosts: as each host of the own zone reports it, and as summaries of other zones state.
 *
 * Only the accounts with the largest usage are sent, since all others are far from any limit.
 *
 * @property staleAfter age above which the usage reported by a host is no longer counted.
 */
public class GossipedUsage(
    private val own: LocalUsage,
    private val summaries: ZoneSummaries,
    private val clock: MonotonicClock,
    private val staleAfter: Duration,
) : RemoteUsage {
    private val hosts = ConcurrentHashMap<HostName, ReportedUsage>()

    /** Stores the usage that [host] of the own zone reported at [now]. */
    internal fun record(host: HostName, usage: List<AccountUsageEntry>, now: MonotonicInstant) {
        hosts[host] = ReportedUsage(usage.associate { it.account to it.usage }, now)
        hosts.values.removeIf { now - it.reportedAt > staleAfter }
    }

    /** The largest usages at this host, at most [count]. */
    internal fun ofThisHost(count: Int): ImmutableList<AccountUsageEntry> = largest(own.current(), count)

    /** The largest usages in the own zone, at most [count]. */
    internal fun ofThisZone(count: Int, now: MonotonicInstant): ImmutableList<AccountUsageEntry> {
        val all = fresh(now).map { it.usage } + own.current()
        val accounts = all.flatMap { it.keys }.distinct()
        return largest(accounts.associateWith { account -> sum(all.mapNotNull { it[account] }) }, count)
    }

    override fun of(account: AccountName): AccountUsage {
        val now = clock.now()
        return sum(fresh(now).mapNotNull { it.usage[account] } + summaries.usageOf(account, now))
    }

    private fun fresh(now: MonotonicInstant): List<ReportedUsage> =
        hosts.values.filter { now - it.reportedAt <= staleAfter }

    private fun sum(usages: List<AccountUsage>): AccountUsage =
        AccountUsage(usages.sumOf { it.requestsPerSecond }, usages.sumOf { it.requestsInFlight })

    private fun largest(usage: Map<AccountName, AccountUsage>, count: Int): ImmutableList<AccountUsageEntry> =
        usage.entries
            .sortedByDescending { it.value.requestsPerSecond + it.value.requestsInFlight }
            .take(count)
            .map { AccountUsageEntry(it.key, it.value) }
            .toImmutableList()

    private data class ReportedUsage(val usage: Map<AccountName, AccountUsage>, val reportedAt: MonotonicInstant)
}
