package org.buckthornwheel.decision.account.share

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.MonotonicInstant

/** Use of one account at all other hosts. Not thread-safe. */
internal class RemoteUses {
    private val byHost = HashMap<HostName, RemoteUse>()

    /** Time of the last report. */
    var receivedAt: MonotonicInstant? = null
        private set

    /** Units a second that callers ask of all of them, as far as they told. */
    val toldDemand: Double get() = byHost.values.sumOf { it.toldDemand.toDouble() }

    /** Units a second that callers ask of the hosts that are heard. */
    var demand: Double = 0.0
        private set

    private var equalWeight = 1.0
    private var silentEqualShare = 0.0

    /** Part of the limit that silent hosts are assumed to use. */
    var silentShare: Double = 0.0
        private set

    /**
     * Assumes that the part [silentPart] of all hosts is silent when the account is first used. Without known demand,
     * each host has an equal share.
     */
    fun begin(silentPart: Double) {
        silentShare = silentPart
        silentEqualShare = silentPart
    }

    /** Applies the report of [host], and returns the units that it adds. */
    fun receive(host: HostName, report: ReportedUse, now: MonotonicInstant): Double {
        receivedAt = now
        val present = byHost[host]
        if (present != null) return present.update(report, now)
        byHost[host] = RemoteUse(report.used, report.demand, now)
        return RemoteUse.firstUse(report)
    }

    fun forget(host: HostName) {
        byHost.remove(host)
    }

    /**
     * Updates the demand at the end of a round, and returns the units that silent hosts are assumed to have used in it.
     *
     * @param ownDemand units a second that callers ask of this host, as far as others know.
     * @param refilled units by which the account's bucket was refilled in the round.
     * @param available units that were available since the hosts that fall silent in this round were heard.
     */
    fun endRound(
        hosts: HeardHosts,
        ownDemand: Double,
        refilled: Double,
        available: Double,
        now: MonotonicInstant,
    ): Double {
        byHost.keys.removeIf { !hosts.isKept(it, now) }
        val total = ownDemand + byHost.entries.sumOf { (host, use) -> use.demand(hosts.heardAt(host)) }
        demand = 0.0
        equalWeight += RemoteUse.SHARE_WEIGHT * ((if (total > 0) 0.0 else 1.0) - equalWeight)
        val formerShare = silentEqualShare
        silentEqualShare = equalWeight * hosts.silentPart
        silentShare = silentEqualShare
        var assumed = silentEqualShare * refilled + maxOf(0.0, silentEqualShare - formerShare) * available
        for ((host, use) in byHost) {
            val present = use.demand(hosts.heardAt(host))
            if (!hosts.isSilent(host, now)) {
                use.recordShare(present / maxOf(total, 1.0))
                demand += present
            } else if (hosts.mayServe(host, now)) {
                val before = use.assumed
                silentShare += use.assumeSilent(refilled, available)
                assumed += use.assumed - before
            }
        }
        return assumed
    }
}
