package org.buckthornwheel.decision.routing

import org.buckthornwheel.api.ZoneName
import kotlin.time.Duration

/** Name of the model or plain service that a load summary covers. */
@JvmInline
public value class WorkName(public val value: String)

/**
 * Total load of the targets of one zone for one model or service.
 *
 * @property usableTargets number of targets that accept new requests.
 * @property capacity number of requests that they process concurrently.
 * @property running number of requests being processed.
 * @property waiting number of queued requests.
 * @property age estimated time since the numbers were determined in their zone.
 */
public data class ZoneLoad(
    public val usableTargets: Int,
    public val capacity: Int,
    public val running: Int,
    public val waiting: Int,
    public val age: Duration,
)

/** State of other zones as known to this host; maintained by the gossip between hosts and read by the router. */
public interface RemoteZoneStates {
    /** The load of [zone] for [work]; null if unknown. */
    public fun load(zone: ZoneName, work: WorkName): ZoneLoad?

    /** The measured round trip time to [zone]; null if not measured. */
    public fun roundTrip(zone: ZoneName): Duration?

    /** Whether a host of [zone] is currently reachable. */
    public fun isReachable(zone: ZoneName): Boolean
}
