package org.buckthornwheel.decision.version

import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.RequestId
import org.buckthornwheel.decision.replica.SoftwareVersion
import org.buckthornwheel.decision.routing.RendezvousHash
import kotlin.math.abs
import kotlin.math.ln

/**
 * The shares of new streams that each software version of a service gets, by its replicas in each region.
 *
 * The version of a stream follows from these counts and the identifier of its request alone. So any host can tell which
 * version began a stream, also one that has just started and has never heard of the stream.
 *
 * @property replicas numbers of replicas of each version that take new streams, by region; none is 0.
 */
public data class VersionShares(public val replicas: Map<SoftwareVersion, Map<RegionName, Int>>) {
    /** All versions that have a share. */
    public val versions: Set<SoftwareVersion> get() = replicas.keys

    /**
     * The version of the stream that the request [stream] begins, which only the regions [homes] may serve, or all of
     * them if it is empty; null if no version has replicas.
     */
    public fun versionOf(stream: RequestId, homes: Set<RegionName>): SoftwareVersion? {
        val permitted = replicas.mapValues { (_, regions) -> count(regions, homes) }.filterValues { it > 0 }
        val weights = permitted.ifEmpty { replicas.mapValues { (_, regions) -> regions.values.sum() } }
        if (weights.size <= 1) return weights.keys.firstOrNull()
        val steady = weights.filterValues { it >= MINIMUM_REPLICAS }.ifEmpty { weights }
        return steady.entries.maxWithOrNull(
            compareBy({ score(stream, it.key, it.value) }, { it.key.value }),
        )?.key
    }

    /** The shares without those of [versions]. */
    internal fun without(versions: Set<SoftwareVersion>): VersionShares = VersionShares(replicas - versions)

    /** Whether [other] gives each version about the same share, in each region and in all of them. */
    public fun isNear(other: VersionShares): Boolean {
        if (versions != other.versions) return false
        if (versions.size <= 1) return true
        val regions = (regionNames + other.regionNames)
        val scopes = regions.map { setOf(it) } + listOf(emptySet())
        return versions.all { version -> scopes.all { isNear(other, version, it) } }
    }

    private val regionNames: Set<RegionName> get() = replicas.values.flatMapTo(HashSet()) { it.keys }

    private fun isNear(other: VersionShares, version: SoftwareVersion, scope: Set<RegionName>): Boolean {
        val one = share(version, scope)
        val another = other.share(version, scope)
        return (one == 0.0) == (another == 0.0) && abs(one - another) <= TOLERANCE
    }

    private fun share(version: SoftwareVersion, scope: Set<RegionName>): Double {
        val all = replicas.values.sumOf { count(it, scope) }
        return if (all == 0) 0.0 else count(replicas.getValue(version), scope) / all.toDouble()
    }

    private fun count(regions: Map<RegionName, Int>, scope: Set<RegionName>): Int =
        regions.entries.sumOf { (region, count) -> if (scope.isEmpty() || region in scope) count else 0 }

    /** Weighted rendezvous hashing: a changed weight moves only the streams that the change is about. */
    private fun score(stream: RequestId, version: SoftwareVersion, weight: Int): Double =
        weight / -ln(1 - RendezvousHash.fraction(stream.value, version.value))

    /** Predefined values and limits. */
    public companion object {
        /** No version has a share. */
        public val NONE: VersionShares = VersionShares(emptyMap())

        /** A version with fewer replicas gets no streams beside others: if it fails, its streams cannot go on. */
        private const val MINIMUM_REPLICAS = 2

        /** Difference between shares from which on new ones are worth a write to the store. */
        private const val TOLERANCE = 0.15
    }
}
