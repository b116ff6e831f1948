package org.buckthornwheel.decision.entry

/**
 * Chooses the hosts of each zone that take callers; the others stand by.
 *
 * Callers pick one of the named hosts at random, so hosts of unequal size must not be named together: the small ones
 * would be full while the large ones are idle. Fewer hosts also know more: each sees a larger part of the work at the
 * replicas, keeps more of its connections in use, and tells fewer others of it.
 */
internal object PrimaryHosts {
    /** The primary hosts of each zone among [usable]; every host that knows the same ones chooses the same. */
    fun of(usable: Collection<EntryHostProfile>): List<EntryHostProfile> = usable.groupBy { it.zone }.values.flatMap(::ofZone)

    private fun ofZone(hosts: List<EntryHostProfile>): List<EntryHostProfile> {
        val strongestFirst = hosts.sortedWith(compareByDescending<EntryHostProfile> { it.cores }.thenBy { it.name.value })
        val chosen = ArrayList<EntryHostProfile>()
        var cores = 0.0
        for (host in strongestFirst) {
            val isUnequal = host.cores < strongestFirst.first().cores * LEAST_SHARE_OF_STRONGEST
            if (cores >= AMPLE_CORES || (cores >= ENOUGH_CORES && isUnequal)) break
            chosen += host
            cores += host.cores
        }
        return chosen
    }

    /** Cores that carry about 3,000 requests a second, at a millisecond each (MEASUREMENTS). */
    private const val AMPLE_CORES = 3.0

    /** Cores for a zone's peak on the users' sheets (450 requests a second) with room for a program that starts. */
    private const val ENOUGH_CORES = 1.5

    /** Hosts with less of the strongest one's cores count as unequal to it. */
    private const val LEAST_SHARE_OF_STRONGEST = 0.5
}
