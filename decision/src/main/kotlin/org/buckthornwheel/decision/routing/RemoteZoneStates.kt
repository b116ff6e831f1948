package org.buckthornwheel.decision.routing

import org.buckthornwheel.api.ZoneName
import kotlin.time.Duration

/** What work a summary speaks of: the name of a model or of a plain service. */
@JvmInline
public value class WorkName(public val value: String)

/**
 * The targets of one zone for one kind of work, added up.
 *
 * @property usableTargets targets that may get new work.
 * @property capacity requests that they work on at once.
 * @property running requests that they work on.
 * @property waiting requests that queue at them.
 * @property age time since the numbers were true in their own zone, as far as is known.
 */
public data class ZoneLoad(
    public val usableTargets: Int,
    public val capacity: Int,
    public val running: Int,
    public val waiting: Int,
    public val age: Duration,
)

/** What is known here of other zones; the router asks it, the exchange between hosts fills it. */
public interface RemoteZoneStates {
    /** The load of [zone] for [work]; null if nothing is known. */
    public fun load(zone: ZoneName, work: WorkName): ZoneLoad?

    /** The measured time there and back to [zone]; null if not measured. */
    public fun roundTrip(zone: ZoneName): Duration?

    /** Whether a host of [zone] can be reached now. */
    public fun isReachable(zone: ZoneName): Boolean
}
