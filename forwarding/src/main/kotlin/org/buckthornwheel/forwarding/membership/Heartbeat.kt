/*
 * Heartbeats between hosts: who is alive, who takes callers, and what each has in flight at each replica.
 */

package org.buckthornwheel.forwarding.membership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.entry.EntryHost

/** Work of the sending host at one replica. */
@Serializable
internal data class ReplicaWork(val replica: String, val requests: Int, val tokens: Long, val prefillTokens: Long)

/** A part of a prompt. */
@Serializable
internal data class ReadPart(val id: String, val tokens: Int)

/** Shared parts that the sender had a replica read lately. */
@Serializable
internal data class ReplicaRead(val replica: String, val parts: List<ReadPart>)

/**
 * One heartbeat.
 *
 * @property isReady whether the sender takes callers.
 * @property work what it has in flight; replicas that are not named have nothing.
 */
@Serializable
internal data class Heartbeat(
    val name: HostName,
    val incarnation: Incarnation,
    val zone: ZoneName,
    val region: RegionName,
    val callerAddress: NetworkAddress,
    val peerAddress: NetworkAddress,
    val isReady: Boolean,
    val work: List<ReplicaWork>,
    val reads: List<ReplicaRead>,
) {
    val host: EntryHost get() = EntryHost(name, incarnation, zone, region, callerAddress, peerAddress)

    @OptIn(ExperimentalSerializationApi::class)
    fun encode(): ByteArray = CODEC.encodeToByteArray(this)

    /** Encoding. */
    @OptIn(ExperimentalSerializationApi::class)
    companion object {
        private val CODEC = Cbor { ignoreUnknownKeys = true }

        fun of(host: EntryHost, isReady: Boolean, work: List<ReplicaWork>, reads: List<ReplicaRead>): Heartbeat =
            Heartbeat(
                name = host.name,
                incarnation = host.incarnation,
                zone = host.zone,
                region = host.region,
                callerAddress = host.callerAddress,
                peerAddress = host.peerAddress,
                isReady = isReady,
                work = work,
                reads = reads,
            )

        /** Reads a datagram; null if it is no heartbeat. */
        fun decode(bytes: ByteArray): Heartbeat? = try {
            CODEC.decodeFromByteArray<Heartbeat>(bytes)
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
    }
}
