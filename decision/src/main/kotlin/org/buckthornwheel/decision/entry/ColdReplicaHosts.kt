package org.buckthornwheel.decision.entry

import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.decision.routing.RendezvousHash

/**
 * Chooses the few hosts of a region that may send requests to a cold replica.
 *
 * The choice must be the same on all hosts, otherwise more hosts than intended use the replica. It is therefore made
 * among all hosts that may be working, and does not depend on which of them are ready or answered recently: hosts learn
 * that at different times. A chosen host that is down leaves its share of the replica's request rate unused.
 */
internal object ColdReplicaHosts {
    /** Maximum number of hosts that use one cold replica. */
    const val MAXIMUM = 3

    /** The hosts among [candidates], the strongest of one region, that may use the cold [replica]. */
    fun of(replica: ReplicaId, candidates: Collection<EntryHostProfile>): List<EntryHostProfile> =
        RendezvousHash.order(replica.value, candidates) { it.name.value }.take(MAXIMUM)
}
