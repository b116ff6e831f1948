package org.buckthornwheel.decision.membership

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.routing.RendezvousHash

/** Duties that a few hosts of a zone carry out for all of them. */
public enum class ZoneDuty {
    /** Exchanges summaries with other zones. */
    SPEAKER,

    /** Watches the platform's log of release notes. */
    WATCHER,
}

/**
 * Chooses who carries out a duty by rendezvous hashing over live hosts, without an election.
 *
 * Two hosts with different views may both hold a duty; every duty is made so that this does no harm.
 */
public object ZoneDutyAssignment {
    /** The [count] hosts of [candidates] that carry out [duty] for [zone], the preferred one first. */
    public fun of(zone: ZoneName, duty: ZoneDuty, candidates: Collection<HostName>, count: Int): List<HostName> =
        RendezvousHash.order("$zone/$duty", candidates) { it.value }.take(count)
}
