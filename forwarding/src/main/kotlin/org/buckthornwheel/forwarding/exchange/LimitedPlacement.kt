package org.buckthornwheel.forwarding.exchange

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.decision.placement.PlacementDecision
import org.buckthornwheel.decision.placement.PlacementRequest
import org.buckthornwheel.decision.quarantine.ReplicaRun
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.decision.replica.ReplicaState
import kotlin.time.Duration

/** A place at a replica of this region; [claim] is what was taken of the replica's limit. */
internal class ReplicaPlace(val decision: PlacementDecision.Local, val state: ReplicaState, val claim: ReplicaClaim)

/**
 * A choice among the replicas whose limits have room.
 *
 * @property place the chosen place at a replica of this region; null if [decision] is another one.
 * @property limitWait time after which the first of the limits that were used up has room; null if none was.
 */
internal class PlacementChoice(val decision: PlacementDecision, val place: ReplicaPlace?, val limitWait: Duration?) {
    /** The shorter one of [wait] and the wait for a limit. */
    fun earliest(wait: Duration): Duration = minOf(wait, limitWait ?: wait)
}

/** Chooses the targets of one request, and takes a request of the limit of a chosen replica. */
internal class LimitedPlacement(private val context: ForwardingContext) {
    private val refusing = HashSet<ReplicaId>()

    /** The choice for [request] at [now]; [reachable] are the other regions that have a responding host. */
    fun choose(request: PlacementRequest, reachable: Set<RegionName>, now: MonotonicInstant): PlacementChoice {
        val full = HashSet<ReplicaId>()
        var limitWait: Duration? = null
        while (true) {
            val decision = context.placement.choose(request.copy(limited = full), reachable, now)
            if (decision !is PlacementDecision.Local) return PlacementChoice(decision, place = null, limitWait)
            val replica = decision.replica
            val state = context.replicas.find(replica.id) ?: continue
            val run = ReplicaRun(replica.id, replica.startedAt)
            when (val verdict = context.limits.take(state, run, replica.id in refusing, now)) {
                is LimitVerdict.Granted ->
                    return PlacementChoice(decision, ReplicaPlace(decision, state, verdict.claim), limitWait)
                is LimitVerdict.Refused -> {
                    full += replica.id
                    refusing += replica.id
                    limitWait = minOf(verdict.wait, limitWait ?: verdict.wait)
                }
            }
        }
    }
}
