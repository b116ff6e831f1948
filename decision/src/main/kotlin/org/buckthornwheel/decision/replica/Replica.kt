/*
 * What a replica says of itself.
 */

package org.buckthornwheel.decision.replica

import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.api.ZoneName

/** Identifier of one start of a replica. */
@JvmInline
public value class ReplicaId(public val value: String) {
    override fun toString(): String = value
}

/**
 * One replica as it is registered.
 *
 * @property slots requests that it runs at once.
 * @property isDraining whether it has announced that it is leaving.
 * @property startedAt Unix milliseconds of its start; tells two starts under one id apart.
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
)
