/*
 * Heartbeats between hosts: liveness, readiness, and the sender's load in flight at each replica.
 *
 * Fields are identified by small numbers, since names would make up most of a datagram. A new field gets a new number.
 */

package org.buckthornwheel.forwarding.membership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborArray
import kotlinx.serialization.cbor.CborLabel
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.entry.EntryHostProfile

/** Load in flight from the sending host at one replica. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class ReplicaWork(val replica: String, val requests: Int, val tokens: Long, val prefillTokens: Long)

/** A part of a prompt. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class ReadPart(val id: String, val tokens: Int)

/** Shared prompt parts that a replica recently prefilled for the sender. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class ReplicaRead(val replica: String, val parts: List<ReadPart>)

/** The sender's description of itself; [cores] is the number of processor cores that it may use. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class SenderDescription(
    @CborLabel(1) val name: HostName,
    @CborLabel(2) val incarnation: Incarnation,
    @CborLabel(3) val zone: ZoneName,
    @CborLabel(4) val region: RegionName,
    @CborLabel(5) val callerAddress: NetworkAddress,
    @CborLabel(6) val peerAddress: NetworkAddress,
    @CborLabel(7) val cores: Double,
) {
    val host: EntryHostProfile
        get() = EntryHostProfile(name, incarnation, zone, region, callerAddress, peerAddress, cores)

    companion object {
        fun of(host: EntryHostProfile): SenderDescription = SenderDescription(
            host.name,
            host.incarnation,
            host.zone,
            host.region,
            host.callerAddress,
            host.peerAddress,
            host.cores,
        )
    }
}

/**
 * The sender's current use of the replicas.
 *
 * @property work load in flight; replicas that are not listed have none.
 * @property reads shared prompt parts that replicas recently prefilled for the sender.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class Activity(@CborLabel(1) val work: List<ReplicaWork>, @CborLabel(2) val reads: List<ReplicaRead>)

/** The run of a replica, which started at [startedAt] in Unix milliseconds. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class LeavingReplica(val replica: String, val startedAt: Long)

/**
 * One heartbeat.
 *
 * @property isReady whether the sender serves callers.
 * @property intervalMilliseconds time until the next one to the same receiver.
 * @property activity the sender's use of the replicas; null if the receiver does not need it.
 * @property revision store revision up to which the sender knows all changes, within [era].
 * @property quarantine what the sender knows of crashed replicas and quarantined prompt parts; null for nothing.
 * @property refusesAccounts whether the sender rejects requests of client accounts.
 * @property leaving replicas that announced to the sender that they are leaving; null for none.
 * @property accounts how much client accounts used at the sender; null for nothing.
 * @property limits the limits that replicas of the sender's region named, and their use; null for nothing.
 * @property era the era of the store to which [revision] belongs.
 * @property manifestVersion version of the sender's manifest in force; 0 if it has none.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class Heartbeat(
    @CborLabel(1) val sender: SenderDescription,
    @CborLabel(2) val isReady: Boolean,
    @CborLabel(3) val intervalMilliseconds: Long,
    @CborLabel(4) val activity: Activity? = null,
    @CborLabel(5) val revision: Long = 0,
    @CborLabel(6) val quarantine: QuarantineMessage? = null,
    @CborLabel(7) val refusesAccounts: Boolean = false,
    @CborLabel(8) val accounts: AccountUseMessage? = null,
    @CborLabel(9) val leaving: List<LeavingReplica>? = null,
    @CborLabel(10) val limits: ReplicaLimitMessage? = null,
    @CborLabel(12) val era: Long = 0,
    @CborLabel(13) val manifestVersion: Long = 0,
) {
    val estateRevision: EstateRevision get() = EstateRevision(era, revision)

    @OptIn(ExperimentalSerializationApi::class)
    fun encode(): ByteArray = CODEC.encodeToByteArray(this)

    /** Encoding and decoding. */
    @OptIn(ExperimentalSerializationApi::class)
    companion object {
        private val CODEC = Cbor {
            ignoreUnknownKeys = true
            preferCborLabelsOverNames = true
        }

        /** Decodes a datagram; null if it is not a heartbeat. The codec reads beyond the end of damaged ones. */
        fun decode(bytes: ByteArray): Heartbeat? = try {
            CODEC.decodeFromByteArray<Heartbeat>(bytes)
        } catch (_: IllegalArgumentException) {
            null
        } catch (_: IndexOutOfBoundsException) {
            null
        }
    }
}
