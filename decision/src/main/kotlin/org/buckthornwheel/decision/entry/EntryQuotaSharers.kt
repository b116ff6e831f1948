package org.buckthornwheel.decision.entry

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.account.share.QuotaSharers
import org.buckthornwheel.decision.account.share.SharersView
import org.buckthornwheel.decision.account.share.SharingScope
import kotlin.time.Duration

/**
 * Determines with whom the host [self] shares limits, among the known [hosts].
 *
 * Primary hosts of all regions hear each other. Other regions hear nothing of a standby host, and a host that has just
 * started may not know the others yet; such hosts use a small part of the limits.
 *
 * @param settlingTime time after which this host knows the other hosts.
 * @param estateKnownSince time at which this host first learned the registered hosts; null before that.
 * @param scope the hosts that share the limits.
 */
public class EntryQuotaSharers(
    private val self: EntryHostProfile,
    private val hosts: KnownEntryHosts,
    private val settlingTime: Duration,
    private val estateKnownSince: () -> MonotonicInstant?,
    private val scope: SharingScope = SharingScope.ALL_REGIONS,
) : QuotaSharers {
    override fun view(now: MonotonicInstant): SharersView {
        val snapshot = hosts.snapshot(now)
        val others = snapshot.known.filter { it.host in snapshot.primaries && isSharer(it.host) }
        val reserved = others.filter { it.isRegistered }.mapTo(HashSet()) { it.host.name }
        val mostShare = when {
            self !in snapshot.primaries -> 1.0 / (1 + snapshot.possiblyAlive.count(::isSharer))
            !isSettled(now) -> NEWCOMER_SHARE
            else -> 1.0
        }
        val names = others.mapTo(HashSet()) { it.host.name }
        return scope.view(snapshot.primaries.count(::isSharer), mostShare, names, reserved)
    }

    private fun isSharer(host: EntryHostProfile): Boolean =
        scope == SharingScope.ALL_REGIONS || host.region == self.region

    private fun isSettled(now: MonotonicInstant): Boolean =
        estateKnownSince()?.let { now - it >= settlingTime } ?: false

    private companion object {
        /** The part of a limit that a host may use before it knows the others. */
        const val NEWCOMER_SHARE = 0.05
    }
}
