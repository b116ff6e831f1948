package org.buckthornwheel.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a host routes requests. */
@Serializable
public data class RoutingSettings(public val policy: RoutingPolicy = RoutingPolicy.PREDICTIVE)

/** The routing policies; all but [PREDICTIVE] are baselines for comparison. */
@Serializable
public enum class RoutingPolicy {
    /** The target or zone with the shortest predicted time to first token. */
    @SerialName("predictive")
    PREDICTIVE,

    /** The target or zone with the lowest utilization. */
    @SerialName("least-loaded")
    LEAST_LOADED,

    /** A random permitted target. */
    @SerialName("random")
    RANDOM,

    /** Only targets in the local availability zone. */
    @SerialName("home-only")
    HOME_ONLY,
}
