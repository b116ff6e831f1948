package org.buckthornwheel.decision.entry

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName

/** A host besides the own one: whether a heartbeat of it came lately, and whether it takes callers. */
internal data class KnownHost(val host: EntryHost, val isHeard: Boolean, val isReady: Boolean)

/**
 * What a host knows of the others at one moment, worked out once for many requests.
 *
 * @property primaries the hosts that take the callers of each zone, this one included if it is one of them.
 */
internal class HostView private constructor(
    val at: MonotonicInstant,
    val known: List<KnownHost>,
    val ready: List<EntryHost>,
    val reachableRegions: Set<RegionName>,
    val primaries: Set<EntryHost>,
) {
    companion object {
        fun of(self: EntryHost, at: MonotonicInstant, known: List<KnownHost>): HostView {
            val ready = known.filter { it.isReady }.map { it.host }
            return HostView(
                at = at,
                known = known,
                ready = ready,
                reachableRegions = ready.mapTo(HashSet()) { it.region } - self.region,
                primaries = primaries(self, known),
            )
        }

        /** Where no host of a zone is known to be ready, one that was not heard lately may stand by. */
        private fun primaries(self: EntryHost, known: List<KnownHost>): Set<EntryHost> {
            val zones = (known + KnownHost(self, isHeard = true, isReady = true)).groupBy { it.host.zone }
            return zones.values.flatMapTo(HashSet()) { hosts ->
                val candidates = hosts.filter { it.isReady }.ifEmpty { hosts.filterNot { it.isHeard } }
                PrimaryHosts.of(candidates.map { it.host })
            }
        }
    }
}
