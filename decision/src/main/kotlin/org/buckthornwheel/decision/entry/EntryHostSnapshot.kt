package org.buckthornwheel.decision.entry

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName

/** A host besides the own one: whether a heartbeat of it came lately, and whether it takes callers. */
internal data class EntryHostStatus(val host: EntryHostProfile, val isHeard: Boolean, val isReady: Boolean)

/**
 * What a host knows of the others at one moment, worked out once for many requests.
 *
 * @property primaries the hosts that take the callers of each zone, this one included if it is one of them.
 */
internal class EntryHostSnapshot private constructor(
    val at: MonotonicInstant,
    val known: List<EntryHostStatus>,
    val ready: List<EntryHostProfile>,
    val reachableRegions: Set<RegionName>,
    val primaries: Set<EntryHostProfile>,
) {
    companion object {
        fun of(self: EntryHostProfile, at: MonotonicInstant, known: List<EntryHostStatus>): EntryHostSnapshot {
            val ready = known.filter { it.isReady }.map { it.host }
            val primaries = primaries(self, known)
            return EntryHostSnapshot(
                at = at,
                known = known,
                ready = ready,
                reachableRegions = reachableRegions(self, ready, primaries),
                primaries = primaries,
            )
        }

        /** A host that stands by hears nothing of other regions: it takes the hosts that should be there on trust. */
        private fun reachableRegions(
            self: EntryHostProfile,
            ready: List<EntryHostProfile>,
            primaries: Set<EntryHostProfile>,
        ): Set<RegionName> {
            val hosts = if (self in primaries) ready else ready + primaries
            return hosts.mapTo(HashSet()) { it.region } - self.region
        }

        /** Where no host of a zone is ready, one that was not heard lately may stand by; else one is about to start. */
        private fun primaries(self: EntryHostProfile, known: List<EntryHostStatus>): Set<EntryHostProfile> {
            val zones = (known + EntryHostStatus(self, isHeard = true, isReady = true)).groupBy { it.host.zone }
            return zones.values.flatMapTo(HashSet()) { hosts ->
                val candidates = hosts.filter { it.isReady }
                    .ifEmpty { hosts.filterNot { it.isHeard } }
                    .ifEmpty { hosts }
                PrimaryHosts.of(candidates.map { it.host })
            }
        }
    }
}
