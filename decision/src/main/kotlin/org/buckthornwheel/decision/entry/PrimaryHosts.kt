package org.buckthornwheel.decision.entry

/**
 * Chooses the primary hosts of each zone, which serve callers; all others are standby hosts.
 *
 * Callers choose one of the named hosts at random, so hosts of unequal size must not be named together: the small ones
 * would be overloaded while the large ones are idle. With fewer hosts, each also sees a larger share of the load at the
 * replicas, reuses more of its connections, and reports its load to fewer other hosts.
 */
internal object PrimaryHosts {
    /** The primary hosts of each zone among [usable]; the choice depends only on [usable]. */
    fun of(usable: Collection<EntryHostProfile>): List<EntryHostProfile> =
        usable.groupBy { it.zone }.values.flatMap(::ofZone)

    private fun ofZone(hosts: List<EntryHostProfile>): List<EntryHostProfile> {
        val strongestFirst = hosts.sortedWith(
            compareByDescending<EntryHostProfile> { it.cores }.thenBy { it.name.value },
        )
        val chosen = ArrayList<EntryHostProfile>()
        var cores = 0.0
        for (host in strongestFirst) {
            val isUnequal = host.cores < strongestFirst.first().cores * MINIMUM_SHARE_OF_STRONGEST
            if (cores >= MAXIMUM_CORES || (cores >= SUFFICIENT_CORES && isUnequal)) break
            chosen += host
            cores += host.cores
        }
        return chosen
    }

    /** Cores for about 3,000 requests per second, at one millisecond of processor time each (MEASUREMENTS). */
    private const val MAXIMUM_CORES = 3.0

    /** Cores for the expected peak load of a zone (450 requests per second), with headroom for a starting process. */
    private const val SUFFICIENT_CORES = 1.5

    /** Hosts with less than this share of the strongest host's cores are not named together with it. */
    private const val MINIMUM_SHARE_OF_STRONGEST = 0.5
}
