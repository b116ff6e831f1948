package org.buckthornwheel.decision.placement

import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.replica.Replica
import org.buckthornwheel.decision.replica.ReplicaLoad
import kotlin.time.Duration

/** Where a request goes. */
public sealed interface PlacementDecision {
    /**
     * To [replica] of the own region; its answer is expected to begin after [predicted].
     *
     * @property missingTokens prompt tokens that it has to read.
     * @property load work that it is believed to have.
     * @property fetchFrom a replica that keeps more of the prompt and can hand it over; null if none is worth it.
     */
    public data class Local(
        public val replica: Replica,
        public val missingTokens: Int,
        public val load: ReplicaLoad,
        public val predicted: Duration,
        public val fetchFrom: Replica? = null,
    ) : PlacementDecision

    /** To a host of [region], best to one in [zone], where the replica is that was found. */
    public data class Forward(
        public val region: RegionName,
        public val zone: ZoneName,
        public val predicted: Duration,
    ) : PlacementDecision

    /** Nowhere at present: each replica is full; a place is expected after [wait]. */
    public data class Full(public val wait: Duration) : PlacementDecision

    /** Nowhere: no permitted replica is usable. */
    public data object NoReplica : PlacementDecision
}
