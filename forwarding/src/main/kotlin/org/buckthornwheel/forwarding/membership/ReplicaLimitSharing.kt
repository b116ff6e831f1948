package org.buckthornwheel.forwarding.membership

import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.account.share.QuotaReport
import org.buckthornwheel.decision.account.share.SharedReplicaLimits
import org.buckthornwheel.decision.entry.EntryHostProfile
import org.buckthornwheel.decision.replica.NamedLimit
import org.buckthornwheel.decision.replica.ReplicaRegistry
import org.buckthornwheel.forwarding.exchange.ReplicaLimits
import kotlin.time.Duration

/**
 * Shares the limits that replicas name with the other hosts of the region: their use, and for hosts that had no
 * response with them yet, the limits themselves.
 */
internal class ReplicaLimitSharing(
    private val shared: SharedReplicaLimits,
    private val limits: ReplicaLimits,
    private val replicas: ReplicaRegistry,
) {
    private var rounds = 0
    private var message: ReplicaLimitMessage? = null

    /** Ends a round of heartbeats to [receivers] hosts of the region. */
    fun endRound(receivers: Int, now: MonotonicInstant) {
        val uses = shared.endRound(QuotaReport.usesPerRound(receivers), now)?.let(AccountUseMessage::of)
        val named = namedLimits(now).map(LimitedReplica::of).ifEmpty { null }
        rounds += 1
        message = ReplicaLimitMessage(uses, named).takeIf { uses != null || named != null }
    }

    /** What to tell a host of the region that is sent a heartbeat every [interval]; null for nothing. */
    fun message(interval: Duration): ReplicaLimitMessage? = message.takeIf { interval <= HeartbeatService.ROUND }

    /** Applies the [received] part of a heartbeat of [sender]; null if it has none. */
    fun receive(sender: EntryHostProfile, received: ReplicaLimitMessage?, now: MonotonicInstant) {
        shared.receive(sender.name, sender.incarnation, received?.uses?.report(), now)
        for (limited in received?.named.orEmpty().take(MAXIMUM_LIMITS)) {
            val named = limited.limit() ?: continue
            val change = replicas.find(named.run.replica)?.recordToldLimit(named, now) ?: continue
            limits.log(change, named.run) { put("peer", sender.name.value) }
        }
    }

    private fun namedLimits(now: MonotonicInstant): List<NamedLimit> {
        if (rounds % ROUNDS_BETWEEN_LIMITS != 0) return emptyList()
        return replicas.all().mapNotNull { it.limitToReport(now) }.sortedBy { it.age }.take(MAXIMUM_LIMITS)
    }

    private companion object {
        /** Keeps a message at about half a kilobyte, and limits what a damaged one can do. */
        const val MAXIMUM_LIMITS = 16

        /** Rounds between reports of the limits themselves; several fit into the time for which these are kept. */
        const val ROUNDS_BETWEEN_LIMITS = 2
    }
}
