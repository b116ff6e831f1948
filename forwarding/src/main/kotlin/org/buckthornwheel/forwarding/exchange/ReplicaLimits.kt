/*
 * Limits that replicas name for the requests of all hosts together.
 */

package org.buckthornwheel.forwarding.exchange

import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.account.QuotaVerdict
import org.buckthornwheel.decision.account.share.SharedReplicaLimits
import org.buckthornwheel.decision.quarantine.ReplicaRun
import org.buckthornwheel.decision.replica.LimitChange
import org.buckthornwheel.decision.replica.ReplicaState
import org.buckthornwheel.forwarding.observability.LogPart
import kotlin.time.Duration

/** Whether a request may be sent to a replica. */
internal sealed interface LimitVerdict {
    /** It may; [claim] is what it took of the replica's limit. */
    class Granted(val claim: ReplicaClaim) : LimitVerdict

    /** The limit is used up for about [wait]. */
    class Refused(val wait: Duration) : LimitVerdict
}

/** What a request took of a replica's limit, by [giveBack] if it named one. Used on one event loop. */
internal class ReplicaClaim(val isLimited: Boolean, private val giveBack: () -> Unit) {
    private var isReturned = false

    /** Returns it, since the replica certainly did not get the request; has an effect only once. */
    fun giveBack() {
        if (isReturned) return
        isReturned = true
        giveBack.invoke()
    }
}

/** Applies the limits that replicas name to the requests of this host; [shared] is its part of them. */
internal class ReplicaLimits(private val shared: SharedReplicaLimits, private val observability: Observability) {
    /**
     * Takes one request of [run], whose state is [state].
     *
     * @param isRepeated whether the same request was refused there before.
     */
    fun take(state: ReplicaState, run: ReplicaRun, isRepeated: Boolean, now: MonotonicInstant): LimitVerdict {
        val limit = state.requestLimit(run.startedAt, now) ?: return LimitVerdict.Granted(UNLIMITED)
        return when (val verdict = shared.take(run, limit, isRepeated, now)) {
            QuotaVerdict.Admitted -> LimitVerdict.Granted(ReplicaClaim(isLimited = true) { shared.giveBack(run) })
            is QuotaVerdict.Exceeded -> {
                if (!isRepeated) observability.meters.turnedAwayByLimit()
                LimitVerdict.Refused(verdict.retryAfter)
            }
        }
    }

    /** Logs that [run] names, changes or no longer names a limit; [source] adds how this host learned of it. */
    fun log(change: LimitChange, run: ReplicaRun, source: JsonObjectBuilder.() -> Unit) {
        observability.log.write(LogPart.REPLICA, if (change.to == null) "limit ended" else "named a limit") {
            put("replica", run.replica.value)
            put("run", run.startedAt)
            source()
            put("from", change.from)
            put("requestsPerSecond", change.to)
        }
    }

    private companion object {
        val UNLIMITED = ReplicaClaim(isLimited = false) {}
    }
}
