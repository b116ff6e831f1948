package org.buckthornwheel.forwarding.membership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import kotlinx.serialization.cbor.CborLabel
import org.buckthornwheel.decision.quarantine.ReplicaRun
import org.buckthornwheel.decision.replica.NamedLimit
import org.buckthornwheel.decision.replica.ReplicaId
import kotlin.time.Duration.Companion.milliseconds

/** A run of a replica that named a limit to the sender, [age] milliseconds ago. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class LimitedReplica(
    val replica: String,
    val startedAt: Long,
    val requestsPerSecond: Double,
    val age: Long,
) {
    /** The limit; null if the message is damaged. */
    fun limit(): NamedLimit? {
        if (!requestsPerSecond.isFinite() || requestsPerSecond < 0 || age < 0) return null
        return NamedLimit(ReplicaRun(ReplicaId(replica), startedAt), requestsPerSecond, age.milliseconds)
    }

    companion object {
        fun of(limit: NamedLimit): LimitedReplica = LimitedReplica(
            limit.run.replica.value,
            limit.run.startedAt,
            limit.requestsPerSecond,
            limit.age.inWholeMilliseconds,
        )
    }
}

/**
 * Limits that replicas of the sender's region named.
 *
 * @property uses how much the sender used of them; null for nothing.
 * @property named the limits that were named to the sender; null if none are told in this heartbeat.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class ReplicaLimitMessage(
    @CborLabel(1) val uses: AccountUseMessage? = null,
    @CborLabel(2) val named: List<LimitedReplica>? = null,
)
