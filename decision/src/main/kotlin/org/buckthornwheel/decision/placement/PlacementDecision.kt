package org.buckthornwheel.decision.placement

import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.replica.Replica
import org.buckthornwheel.decision.replica.ReplicaLoad
import kotlin.time.Duration

/** Result of the placement of a request. */
public sealed interface PlacementDecision {
    /**
     * The request is sent to [replica] of the local region, whose response is expected to start after [predicted].
     *
     * @property missingTokens prompt tokens that the replica has to prefill.
     * @property load estimated load of the replica.
     * @property fetchFrom the cache holder to fetch a longer prefix of the prompt from; null if that does not pay off.
     */
    public data class Local(
        public val replica: Replica,
        public val missingTokens: Int,
        public val load: ReplicaLoad,
        public val predicted: Duration,
        public val fetchFrom: Replica? = null,
    ) : PlacementDecision

    /** The request is forwarded to a host of [region], preferably in [zone], where the chosen replica is. */
    public data class Forward(
        public val region: RegionName,
        public val zone: ZoneName,
        public val predicted: Duration,
    ) : PlacementDecision

    /** All usable replicas are full; the first slot is expected to become free after [wait]. */
    public data class Full(public val wait: Duration) : PlacementDecision

    /** All permitted replicas want no requests for now; the first of their pauses ends after [wait]. */
    public data class Paused(public val wait: Duration) : PlacementDecision

    /** No permitted replica is usable. */
    public data object NoReplica : PlacementDecision
}
