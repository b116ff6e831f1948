package org.buckthornwheel.decision.entry

/** Chooses the hosts that a host asks for what they have in force, nearest first. */
public object InquiredHosts {
    /** The most hosts of the same distance; those of one zone or region may fail together. */
    public const val MAXIMUM_OF_DISTANCE: Int = 2

    /** The hosts among [candidates] that [self] asks, in this order. */
    public fun of(self: EntryHostProfile, candidates: Collection<EntryHostProfile>): List<EntryHostProfile> =
        candidates.filter { it.name != self.name }
            .groupBy { distance(self, it) }
            .toSortedMap()
            .values
            .flatMap { hosts -> hosts.sortedWith(STRONGEST_FIRST).take(MAXIMUM_OF_DISTANCE) }

    private fun distance(self: EntryHostProfile, other: EntryHostProfile): Int = when {
        other.zone == self.zone -> 0
        other.region == self.region -> 1
        else -> 2
    }

    private val STRONGEST_FIRST = compareByDescending<EntryHostProfile> { it.cores }.thenBy { it.name.value }
}
