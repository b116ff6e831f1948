package org.buckthornwheel.forwarding.membership

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.account.share.QuotaReport
import org.buckthornwheel.decision.account.share.SharedAccountQuotas
import org.buckthornwheel.decision.entry.EntryHostProfile
import kotlin.time.Duration

/** Shares the limits of client accounts with other hosts, by what heartbeats tell of the [quotas]. */
internal class AccountSharing(private val quotas: SharedAccountQuotas) {
    private var former: QuotaReport? = null
    private var newest: QuotaReport? = null
    private var newestMessage: AccountUseMessage? = null
    private var mergedMessage: AccountUseMessage? = null

    /** Ends a round of heartbeats of which [intervals] are the intervals to the other hosts. */
    fun endRound(intervals: Collection<Duration>, now: MonotonicInstant) {
        former = newest
        newest = quotas.endRound(QuotaReport.usesPerRound(intervals.count { it <= LONGEST_INTERVAL }), now)
        newestMessage = newest?.let(AccountUseMessage::of)
        mergedMessage = QuotaReport.merged(former, newest)?.let(AccountUseMessage::of)
    }

    /** What to tell a host that is sent a heartbeat every [interval]; null for nothing. */
    fun message(interval: Duration): AccountUseMessage? = when {
        interval <= SHORTEST_INTERVAL -> newestMessage
        interval <= LONGEST_INTERVAL -> mergedMessage
        else -> null
    }

    /** Applies the [message] in a heartbeat of [sender]; null if it has none. */
    fun receive(sender: EntryHostProfile, message: AccountUseMessage?, now: MonotonicInstant): Unit =
        quotas.receive(sender.name, sender.incarnation, message?.report(), now)

    private companion object {
        /** The interval of the rounds. */
        val SHORTEST_INTERVAL = HeartbeatService.ROUND

        /** Hosts that are sent heartbeats less often do not serve callers. A merged report covers two rounds. */
        val LONGEST_INTERVAL = HeartbeatService.ROUND * 2
    }
}
