package org.buckthornwheel.measurement.sample

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.RequestId
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.membership.HostKey
import org.buckthornwheel.decision.membership.HostProfile
import org.buckthornwheel.protocol.peer.ForwardEnvelope
import org.buckthornwheel.protocol.peer.Gossip
import org.buckthornwheel.protocol.peer.HeartbeatMessage
import org.buckthornwheel.protocol.peer.MessageSigner
import org.buckthornwheel.protocol.peer.PeerCodec
import org.buckthornwheel.protocol.peer.SigningKey

/** Sample hosts and their messages, with names of realistic length. */
public object SamplePeers {
    private const val KEY_BYTES = 32
    private const val MAXIMUM_BYTES = 16 * 1_048_576
    private const val HOSTS_PER_SUBNET = 250
    private const val CALLER_PORT = 8_080
    private const val PEER_PORT = 8_090
    private const val FIRST_INCARNATION = 1_760_000_000_000L
    private const val SEQUENCE = 40_000L
    private const val REVISION = 12_000L
    private const val OTHER_HEARTBEATS = 18
    private const val HASH_CHARACTERS = 64

    /** The instant at which sample messages are received. */
    public val now: MonotonicInstant = MonotonicInstant(1_000_000_000)

    /** A signer with one key. */
    public val signer: MessageSigner = MessageSigner(listOf(SigningKey("sample", ByteArray(KEY_BYTES) { it.toByte() })))

    /** The codec of messages between hosts, with a generous size limit. */
    public val codec: PeerCodec = PeerCodec(signer, MAXIMUM_BYTES)

    /** The profile that host [number] publishes. */
    public fun profile(number: Int): HostProfile {
        val address = "10.1.${number / HOSTS_PER_SUBNET}.${number % HOSTS_PER_SUBNET + 1}"
        return HostProfile(
            name = HostName("salish-south-a-host-$number"),
            incarnation = Incarnation(FIRST_INCARNATION + number),
            region = RegionName("salish-south"),
            zone = ZoneName("salish-south-a"),
            callerAddress = NetworkAddress(address, CALLER_PORT),
            peerAddress = NetworkAddress(address, PEER_PORT),
            leaving = false,
        )
    }

    /** The gossip that host [number] sends within its zone each second: its heartbeat and [OTHER_HEARTBEATS] others. */
    public fun heartbeat(number: Int): Gossip =
        Gossip(heartbeatMessage(number), List(OTHER_HEARTBEATS) { heartbeatMessage(number + it + 1) })

    private fun heartbeatMessage(number: Int): HeartbeatMessage =
        HeartbeatMessage(HostKey.of(profile(number)).value, SEQUENCE, REVISION, leaving = false)

    /** The envelope of a forwarded completion. */
    public fun envelope(): ForwardEnvelope = ForwardEnvelope(
        requestId = RequestId("0193a3c8-7f2e-7c1a-9b64-2f1f0e4a7d11"),
        sender = profile(0).name,
        account = AccountName("halvorsen"),
        path = "/v1/chat/completions",
        reads = false,
        hops = 1,
        visitedZones = listOf(profile(0).zone),
        remainingMilliseconds = 120_000,
        permittedRegions = listOf(profile(0).region),
        idempotencyKey = null,
        bodySha256 = "a".repeat(HASH_CHARACTERS),
    )
}
