package org.buckthornwheel.decision.entry

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName

/** The status of another host: whether a heartbeat of it arrived recently, and whether it is ready for callers. */
internal data class EntryHostStatus(val host: EntryHostProfile, val isHeard: Boolean, val isReady: Boolean)

/**
 * The state of the known hosts at one moment, computed once and used for many requests.
 *
 * @property primaries the hosts that serve the callers of each zone, including this one if it is primary.
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

        /** A standby host gets no heartbeats from other regions and assumes that their expected primaries are alive. */
        private fun reachableRegions(
            self: EntryHostProfile,
            ready: List<EntryHostProfile>,
            primaries: Set<EntryHostProfile>,
        ): Set<RegionName> {
            val hosts = if (self in primaries) ready else ready + primaries
            return hosts.mapTo(HashSet()) { it.region } - self.region
        }

        /**
         * If no host of a zone is ready, the candidates are the hosts without a recent heartbeat, which may be standby
         * hosts. If all have sent one recently, the candidates are all of them, since one is about to become ready.
         */
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
