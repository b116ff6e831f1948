package org.buckthornwheel.decision.waiting

import org.buckthornwheel.api.RegionName
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.decision.replica.SoftwareVersion

/**
 * Where a request may be served.
 *
 * @property homes the only regions that may serve it; empty if all may.
 * @property excludedRegions regions that have rejected it.
 * @property excludedReplicas replicas that it must not be sent to again.
 * @property version the only software version that may serve it; null if all may.
 */
public data class ServingScope(
    public val homes: Set<RegionName>,
    public val excludedRegions: Set<RegionName>,
    public val excludedReplicas: Set<ReplicaId>,
    public val version: SoftwareVersion? = null,
) {
    /** Whether the request may be served in [region], by [replica] if one is given, of [offered] if that is known. */
    public fun permits(region: RegionName, replica: ReplicaId?, offered: SoftwareVersion?): Boolean =
        (homes.isEmpty() || region in homes) && region !in excludedRegions && replica !in excludedReplicas &&
            (version == null || offered == null || version == offered)

    /** Whether a request of this scope may be served wherever one of the [other] scope may be. */
    internal fun covers(other: ServingScope): Boolean {
        if (homes.isNotEmpty() && (other.homes.isEmpty() || !homes.containsAll(other.homes))) return false
        if (version != null && version != other.version) return false
        val excludesMore = excludedRegions.any { it !in other.excludedRegions && other.mayBeHome(it) }
        return !excludesMore && other.excludedReplicas.containsAll(excludedReplicas)
    }

    private fun mayBeHome(region: RegionName): Boolean = homes.isEmpty() || region in homes
}
