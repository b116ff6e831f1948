/*
 * The gossip messages that hosts exchange as datagrams: signed CBOR, one message per datagram.
 *
 * Fields are identified by numbers instead of names and the smallest records are arrays, because these messages are
 * sent every second within a byte budget. Each type has the meaning of its counterpart in the decision module.
 */

@file:OptIn(ExperimentalSerializationApi::class)

package org.buckthornwheel.protocol.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import kotlinx.serialization.cbor.CborLabel

/** A datagram between hosts. */
@Serializable
public sealed interface PeerMessage

/** A gossip message; fields that have their default value are not encoded. */
@Serializable
@SerialName("g")
public data class Gossip(
    @CborLabel(1) public val sender: HeartbeatMessage,
    @SerialName("signs") @CborLabel(2) public val heartbeats: List<HeartbeatMessage> = emptyList(),
    @CborLabel(3) public val profiles: List<ProfileMessage> = emptyList(),
    @SerialName("wanted") @CborLabel(4) public val requestedProfiles: List<Long> = emptyList(),
    @CborLabel(5) public val zones: List<SummaryMessage> = emptyList(),
    @CborLabel(6) public val usage: List<UsageMessage> = emptyList(),
    @CborLabel(7) public val links: List<LinkMessage> = emptyList(),
    @SerialName("greeting") @CborLabel(8) public val isJoinRequest: Boolean = false,
    @CborLabel(9) public val probe: Long? = null,
    @CborLabel(10) public val echo: Long? = null,
) : PeerMessage

/** A heartbeat of the host that is identified by [key]. */
@Serializable
@CborArray
public data class HeartbeatMessage(
    public val key: Long,
    public val sequence: Long,
    public val revision: Long,
    public val leaving: Boolean,
)

/** The profile of a host; addresses are `host:port`, the incarnation is in milliseconds since the epoch. */
@Serializable
public data class ProfileMessage(
    @CborLabel(1) public val name: String,
    @CborLabel(2) public val incarnation: Long,
    @CborLabel(3) public val region: String,
    @CborLabel(4) public val zone: String,
    @CborLabel(5) public val callerAddress: String,
    @CborLabel(6) public val peerAddress: String,
)

/** The summary of a zone, as sent to other zones by the zone representative. */
@Serializable
public data class SummaryMessage(
    @CborLabel(1) public val zone: String,
    @CborLabel(2) public val region: String,
    @SerialName("speaker") @CborLabel(3) public val representative: Long,
    @CborLabel(4) public val sequence: Long,
    @CborLabel(5) public val ageMilliseconds: Long,
    @CborLabel(6) public val contacts: List<HeartbeatMessage> = emptyList(),
    @CborLabel(7) public val loads: List<LoadMessage> = emptyList(),
    @CborLabel(8) public val usage: List<UsageMessage> = emptyList(),
)

/** The load of a zone's targets for one kind of [work]; all values but [usableTargets] count requests. */
@Serializable
@CborArray
public data class LoadMessage(
    public val work: String,
    public val usableTargets: Int,
    public val capacity: Int,
    public val running: Int,
    public val waiting: Int,
)

/** The usage of an account; the rate is counted over ten seconds so that an integer is precise enough. */
@Serializable
@CborArray
public data class UsageMessage(
    public val account: String,
    public val requestsInTenSeconds: Long,
    public val requestsInFlight: Int,
)

/** The measured round-trip time to another zone. */
@Serializable
@CborArray
public data class LinkMessage(public val zone: String, public val roundTripMicroseconds: Long)
