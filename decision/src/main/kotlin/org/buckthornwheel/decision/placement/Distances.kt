package org.buckthornwheel.decision.placement

import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.replica.Replica

/**
 * How far replicas are from a host of [zone] in [region].
 *
 * @property crossZoneMilliseconds time that a request loses on the way to another zone of the region and back.
 * @property crossRegionMilliseconds the same for another region, where a host passes it on.
 */
public data class Distances(
    public val region: RegionName,
    public val zone: ZoneName,
    public val crossZoneMilliseconds: Double,
    public val crossRegionMilliseconds: Double,
) {
    /** The time on the way to [replica] and back. */
    internal fun wayMilliseconds(replica: Replica): Double = when {
        replica.region != region -> crossRegionMilliseconds
        replica.zone != zone -> crossZoneMilliseconds
        else -> 0.0
    }

    /** The wait at a replica of the own zone that is preferred to [replica], since bytes between zones cost. */
    internal fun preferenceMilliseconds(replica: Replica): Double =
        if (replica.region == region && replica.zone != zone) ZONE_PREFERENCE_MILLISECONDS else 0.0

    private companion object {
        /** Under the cost of moving a prompt, so that a prompt is rather used in another zone than moved from there. */
        const val ZONE_PREFERENCE_MILLISECONDS = 40.0
    }
}
