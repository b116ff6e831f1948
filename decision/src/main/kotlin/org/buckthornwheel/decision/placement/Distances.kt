package org.buckthornwheel.decision.placement

import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.replica.Replica

/**
 * Network delays between a host of [zone] in [region] and the replicas.
 *
 * @property crossZoneMilliseconds round trip added by another zone of the region.
 * @property crossRegionMilliseconds round trip added by another region, where a host forwards the request.
 */
public data class Distances(
    public val region: RegionName,
    public val zone: ZoneName,
    public val crossZoneMilliseconds: Double,
    public val crossRegionMilliseconds: Double,
) {
    /** The round trip to [replica]; 0 within the zone. */
    internal fun networkDelayMilliseconds(replica: Replica): Double = when {
        replica.region != region -> crossRegionMilliseconds
        replica.zone != zone -> crossZoneMilliseconds
        else -> 0.0
    }

    /** The longer wait within the local zone that is accepted to avoid [replica], since cross-zone traffic costs. */
    internal fun crossZonePenaltyMilliseconds(replica: Replica): Double =
        if (replica.region == region && replica.zone != zone) CROSS_ZONE_PENALTY_MILLISECONDS else 0.0

    private companion object {
        /** Less than the fetch penalty, so that a prompt cached in another zone is used there rather than fetched. */
        const val CROSS_ZONE_PENALTY_MILLISECONDS = 40.0
    }
}
