package org.buckthornwheel.decision.membership

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.routing.RendezvousHash

/** Duties that a few hosts of a zone carry out for the whole zone; the names of the values are part of a hash key. */
public enum class ZoneDuty {
    /** Represents the zone: exchanges summaries with other zones. */
    SPEAKER,

    /** Watches the platform's log of release notes. */
    WATCHER,
}

/**
 * Assigns duties to live hosts by rendezvous hashing, without an election.
 *
 * While hosts disagree about who is alive, more hosts than intended may carry out a duty. Every duty tolerates this.
 */
public object ZoneDutyAssignment {
    /** The [count] hosts of [candidates] that carry out [duty] for [zone], in order of preference. */
    public fun of(zone: ZoneName, duty: ZoneDuty, candidates: Collection<HostName>, count: Int): List<HostName> =
        RendezvousHash.order("$zone/$duty", candidates) { it.value }.take(count)
}
