/*
 * How a request that has found no place waits for one.
 */

package org.buckthornwheel.forwarding.exchange

import io.netty.channel.EventLoop
import io.netty.util.concurrent.ScheduledFuture
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.decision.replica.Replica
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.decision.replica.SoftwareVersion
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A request that waits: it tries again to find a place, or is rejected. */
internal interface WaitingOwner {
    /** Called when a place may be free. */
    fun place()

    /** Called when the request must not wait any longer; [retryAfter] is null if only [wait] is known. */
    fun onWaitEnded(reason: String, wait: Duration, retryAfter: Duration?)
}

/** A place in [region], at [replica] of the software [version] if these are known. */
internal class FoundPlace(val region: RegionName, val replica: ReplicaId?, val version: SoftwareVersion?) {
    constructor(replica: Replica) : this(replica.region, replica.id, replica.version)
}

/** The wait of one request for places; used on the event loop of its caller's connection. */
internal interface PlaceWait {
    /** Whether the request may look for a place now; if not, it waits or was rejected. */
    fun mayTry(now: MonotonicInstant): Boolean

    /** Whether the request may take the [place] that it has found. */
    fun mayTake(place: FoundPlace, now: MonotonicInstant): Boolean

    /** Called when the request has taken a place. */
    fun onTaken(now: MonotonicInstant)

    /** Called when there is no place; the first one is expected after [wait]. */
    fun onNoPlace(wait: Duration, now: MonotonicInstant)

    /** Called when the request has ended. */
    fun end(now: MonotonicInstant)
}

/** Looks for a place at a fixed interval, in no order, for a share of the target latency. */
internal class PolledWait(
    private val loop: EventLoop,
    private val policy: RequestPolicy,
    private val owner: WaitingOwner,
) : PlaceWait {
    private var timer: ScheduledFuture<*>? = null

    override fun mayTry(now: MonotonicInstant): Boolean = true

    override fun mayTake(place: FoundPlace, now: MonotonicInstant): Boolean = true

    override fun onTaken(now: MonotonicInstant): Unit = Unit

    override fun onNoPlace(wait: Duration, now: MonotonicInstant) {
        if (now - policy.arrivedAt + INTERVAL > policy.targetLatency * MAXIMUM_SHARE) {
            return owner.onWaitEnded("no replica available in time", wait, retryAfter = null)
        }
        timer = loop.schedule(owner::place, INTERVAL.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    override fun end(now: MonotonicInstant) {
        timer?.cancel(false)
    }

    internal companion object {
        /** Maximum share of the target latency that a request may wait for placement. */
        const val MAXIMUM_SHARE = 0.125

        /** Interval between placement attempts: about three batch steps of an engine. */
        val INTERVAL = 12.milliseconds
    }
}
