package org.buckthornwheel.decision.placement

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.replica.Replica

/**
 * Tells which cold replicas a host may use.
 *
 * A cold replica bears only a few requests a second from all hosts together. With many hosts, each one's part would be
 * a request in several seconds, and nothing would keep these from coming in the same second; so few hosts use it.
 */
public fun interface ColdReplicaPolicy {
    /** Whether this host may send to the cold [replica] at [now]. */
    public fun permits(replica: Replica, now: MonotonicInstant): Boolean
}
