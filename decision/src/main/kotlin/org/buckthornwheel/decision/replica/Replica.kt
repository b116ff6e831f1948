package org.buckthornwheel.decision.replica

import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.api.ZoneName

/** Identifier of a registered replica. */
@JvmInline
public value class ReplicaId(public val value: String) {
    override fun toString(): String = value
}

/**
 * The registration of one replica.
 *
 * @property slots number of requests that it processes concurrently.
 * @property isDraining whether it has announced that it is shutting down.
 * @property startedAt start time in Unix milliseconds, by which a restart under the same id is recognized;
 *   [UNKNOWN_START] if it is not known.
 * @property sequence number of the registration among those of the same run; null if it is not known.
 * @property version version of the software that it runs.
 */
public data class Replica(
    public val id: ReplicaId,
    public val service: ServiceName,
    public val address: NetworkAddress,
    public val zone: ZoneName,
    public val region: RegionName,
    public val slots: Int,
    public val isDraining: Boolean,
    public val startedAt: Long,
    public val sequence: Long? = null,
    public val version: SoftwareVersion = SoftwareVersion.UNNAMED,
) {
    /** Predefined values. */
    public companion object {
        /** Start time of a replica that does not tell it; its runs cannot be distinguished. */
        public const val UNKNOWN_START: Long = 0
    }
}
