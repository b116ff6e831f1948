package org.buckthornwheel.forwarding.exchange

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.entry.KnownEntryHosts
import org.buckthornwheel.decision.quarantine.ReplicaRun
import org.buckthornwheel.decision.replica.Replica
import org.buckthornwheel.decision.replica.ReplicaLoad
import org.buckthornwheel.decision.replica.ReplicaState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Whether one attempt may be sent to [replica], from its placement until its connection is open.
 *
 * @param isBoundToVersion whether only the software version that the registration of [replica] names may serve it.
 * @param claim what the placement took of the limit that the replica named.
 */
internal class SendPermission(
    private val context: ForwardingContext,
    private val proxiedRequest: ProxiedRequest,
    private val state: ReplicaState,
    private val replica: Replica,
    private val isBoundToVersion: Boolean,
    private var claim: ReplicaClaim,
) {
    private val run = ReplicaRun(replica.id, replica.startedAt)
    private var holdsColdRequest = false

    /** Records at the replica that the attempt, which causes [work], begins at [now]. */
    fun recordStart(work: ReplicaLoad, now: MonotonicInstant) {
        holdsColdRequest = state.recordStart(work, proxiedRequest.metadata.parts, coldInterval(), now)
    }

    /** Why the attempt must not be sent at [now], although it was placed; null if it may. */
    fun refusal(now: MonotonicInstant): String? {
        val announcement = state.restriction(now)?.takeIf { it.isAnnouncement }
        return when {
            announcement != null -> announcement.source
            !proxiedRequest.homes.permit(replica.region) -> "outside the home regions in force"
            isBoundToVersion && !state.coldness.isRunCertain(replica.startedAt, now) -> "software version not certain"
            !holdsColdRequest && !mayUseCold(now) -> "cold"
            claim.isLimited || takeOfLimit(now) -> null
            else -> "limited"
        }
    }

    /** Returns what the attempt took of the replica's limit, since it was not sent. */
    fun giveBack(): Unit = claim.giveBack()

    /** Whether the replica is not cold, or its next request is due, if it has become cold since the placement. */
    private fun mayUseCold(now: MonotonicInstant): Boolean = state.coldness.takeUnpaced(now) ||
        (context.placement.permitsCold(replica, now) && state.coldness.takeRequest(coldInterval(), now))

    /** Takes a request of the limit that the replica named while the connection was opened, if it did. */
    private fun takeOfLimit(now: MonotonicInstant): Boolean {
        val verdict = context.limits.take(state, run, isRepeated = false, now)
        if (verdict is LimitVerdict.Granted) claim = verdict.claim
        return verdict is LimitVerdict.Granted
    }

    /** Minimum interval between this host's requests to a cold replica; several hosts of the region share the rate. */
    private fun coldInterval(): Duration {
        val rate =
            context.routingState.manifest?.services?.get(proxiedRequest.policy.service)?.coldRequestsPerSecond ?: 0.0
        if (rate <= 0) return Duration.ZERO
        return 1.seconds * (KnownEntryHosts.COLD_REPLICA_HOSTS / rate)
    }
}
