package org.buckthornwheel.decision.placement

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.replica.Replica

/**
 * Decides which cold replicas this host may use.
 *
 * A cold replica sustains only a few requests per second from all hosts together. Divided among many hosts, this allows
 * each of them one request in several seconds, and nothing prevents these from arriving in the same second. Therefore,
 * only few hosts may use a cold replica.
 */
public fun interface ColdReplicaPolicy {
    /** Whether this host may send a request to the cold [replica] at [now]. */
    public fun permits(replica: Replica, now: MonotonicInstant): Boolean
}
