package org.buckthornwheel.measurement.bench

import arrow.core.Either
import kotlinx.serialization.json.Json
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.estate.AcceptedNote
import org.buckthornwheel.measurement.sample.EstateSize
import org.buckthornwheel.measurement.sample.SampleEstate
import org.buckthornwheel.measurement.sample.SamplePeers
import org.buckthornwheel.protocol.peer.ForwardEnvelope
import org.buckthornwheel.protocol.peer.PeerMessage
import org.buckthornwheel.protocol.peer.RejectedMessage
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.State

/** Cost of encoding, signing, verifying and decoding messages between hosts and release notes in the log. */
@State(Scope.Benchmark)
public open class MessageBench {
    private val heartbeat: PeerMessage = SamplePeers.heartbeat(1)
    private val heartbeatBytes = SamplePeers.codec.encode(heartbeat)
    private val envelope = SamplePeers.envelope()
    private val envelopeBytes = SamplePeers.codec.encode(envelope)
    private val note = SampleEstate(EstateSize.DESIGN).singleChangeNote(Revision(1))
    private val noteText = Json.encodeToString(note)

    /** Encodes and signs a heartbeat. */
    @Benchmark
    public fun encodeHeartbeat(): ByteArray = SamplePeers.codec.encode(heartbeat)

    /** Verifies and decodes a heartbeat. */
    @Benchmark
    public fun decodeHeartbeat(): Either<RejectedMessage, PeerMessage> = SamplePeers.codec.decode(heartbeatBytes)

    /** Signs the bytes of a heartbeat. */
    @Benchmark
    public fun signHeartbeat(): ByteArray = SamplePeers.signer.sign(heartbeatBytes)

    /** Encodes and signs the envelope of a forwarded request. */
    @Benchmark
    public fun encodeEnvelope(): ByteArray = SamplePeers.codec.encode(envelope)

    /** Verifies and decodes the envelope of a forwarded request. */
    @Benchmark
    public fun decodeEnvelope(): Either<RejectedMessage, ForwardEnvelope> = SamplePeers.codec.decode(envelopeBytes)

    /** Encodes a typical small note as it is stored in the log. */
    @Benchmark
    public fun encodeNote(): String = Json.encodeToString(note)

    /** Decodes a typical small note from the log. */
    @Benchmark
    public fun decodeNote(): AcceptedNote = Json.decodeFromString(noteText)
}
