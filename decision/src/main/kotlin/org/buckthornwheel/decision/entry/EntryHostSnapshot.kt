package org.buckthornwheel.decision.entry

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName

/**
 * The status of another host.
 *
 * @property isHeard whether a heartbeat of it arrived recently.
 * @property isReady whether it is ready for callers.
 * @property isDeclining whether it announced recently that it is not ready, as a stopping host does.
 * @property isRegistered whether it is registered in the store, as far as this host has learned.
 * @property refusesAccounts whether it rejects requests of client accounts.
 */
internal data class EntryHostStatus(
    val host: EntryHostProfile,
    val isHeard: Boolean,
    val isReady: Boolean,
    val isDeclining: Boolean,
    val isRegistered: Boolean,
    val refusesAccounts: Boolean = false,
) {
    /**
     * Whether the host may be working, even if it cannot be heard.
     *
     * A registered host may be, however long it has been silent: a network partition that silences it also keeps this
     * host from learning that the registration has expired.
     */
    val mayBeAlive: Boolean get() = isHeard || isRegistered
}

/**
 * The state of the known hosts at one moment, computed once and used for many requests.
 *
 * @property primaries the hosts that serve the callers of each zone, including this one if it is primary.
 * @property possiblyAlive the other hosts that may be working.
 */
internal class EntryHostSnapshot private constructor(
    val at: MonotonicInstant,
    val known: List<EntryHostStatus>,
    val ready: List<EntryHostProfile>,
    val primaries: Set<EntryHostProfile>,
    val forwardingTargets: List<EntryHostProfile>,
    val possiblyAlive: List<EntryHostProfile>,
    self: EntryHostProfile,
) {
    /** The ready hosts that accept requests of client accounts. */
    val accepting: List<EntryHostProfile> =
        known.filter { it.isReady && !it.refusesAccounts }.map { it.host }

    /** The other regions that have a host to which requests may be forwarded. */
    val reachableRegions: Set<RegionName> = forwardingTargets.mapTo(HashSet()) { it.region }

    /** The hosts of this host's region among which those that use a cold replica are chosen. */
    val coldReplicaCandidates: List<EntryHostProfile> =
        PrimaryHosts.of(possiblyAlive.filter { it.region == self.region } + self)

    companion object {
        fun of(self: EntryHostProfile, at: MonotonicInstant, known: List<EntryHostStatus>): EntryHostSnapshot {
            val ready = known.filter { it.isReady }.map { it.host }
            val primaries = primaries(self, known)
            return EntryHostSnapshot(
                at = at,
                known = known,
                ready = ready,
                primaries = primaries,
                forwardingTargets = forwardingTargets(self, known, primaries),
                possiblyAlive = known.filter { it.mayBeAlive }.map { it.host },
                self = self,
            )
        }

        /**
         * The primary hosts of other regions that take requests. A standby host gets no heartbeats from other regions
         * and assumes that their expected primaries are alive unless they declined.
         */
        private fun forwardingTargets(
            self: EntryHostProfile,
            known: List<EntryHostStatus>,
            primaries: Set<EntryHostProfile>,
        ): List<EntryHostProfile> {
            val isStandby = self !in primaries
            return known
                .filter { it.host.region != self.region && it.host in primaries }
                .filter { it.isReady || (isStandby && !it.isDeclining) }
                .map { it.host }
        }

        /**
         * If no host of a zone is ready, the candidates are the hosts without a recent heartbeat, which may be standby
         * hosts. If all have sent one recently, the candidates are all of them, since one is about to become ready.
         */
        private fun primaries(self: EntryHostProfile, known: List<EntryHostStatus>): Set<EntryHostProfile> {
            val own = EntryHostStatus(self, isHeard = true, isReady = true, isDeclining = false, isRegistered = true)
            val zones = (known + own).groupBy { it.host.zone }
            return zones.values.flatMapTo(HashSet()) { hosts ->
                val candidates = hosts.filter { it.isReady }
                    .ifEmpty { hosts.filterNot { it.isHeard } }
                    .ifEmpty { hosts }
                PrimaryHosts.of(candidates.map { it.host })
            }
        }
    }
}
