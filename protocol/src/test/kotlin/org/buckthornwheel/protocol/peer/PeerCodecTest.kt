package org.buckthornwheel.protocol.peer

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.RequestId
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.ZoneName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.random.Random

class PeerCodecTest {
    private val signer = MessageSigner(listOf(SigningKey("new", ByteArray(32) { 1 }), SigningKey("old", ByteArray(32))))
    private val codec = PeerCodec(signer, MAXIMUM_BYTES)
    private val envelope = ForwardEnvelope(
        requestId = RequestId("request"),
        sender = HostName("host"),
        account = AccountName("account"),
        path = "/v1/completions",
        reads = false,
        hops = 1,
        visitedZones = listOf(ZoneName("zone")),
        remainingMilliseconds = 1_000,
        permittedRegions = null,
        idempotencyKey = null,
        bodySha256 = "00",
    )

    @Nested
    inner class `given a message signed with the older key` {
        @Test
        fun `it is accepted while both keys are configured`() {
            val other = PeerCodec(MessageSigner(listOf(SigningKey("old", ByteArray(32)))), MAXIMUM_BYTES)
            expectThat(codec.decode<ForwardEnvelope>(other.encode(envelope)).getOrNull()).isEqualTo(envelope)
        }
    }

    @Nested
    inner class `given a message that was modified in transit` {
        @Test
        fun `each flipped bit and each truncation is rejected`() {
            val bytes = codec.encode(envelope)
            val accepted = (0 until bytes.size * 8).firstOrNull { bit ->
                val damaged = bytes.copyOf()
                damaged[bit / 8] = (damaged[bit / 8].toInt() xor (1 shl bit % 8)).toByte()
                codec.decode<ForwardEnvelope>(damaged).isRight()
            }
            expectThat(accepted).isNull()
            expectThat(bytes.indices.firstOrNull { codec.decode<ForwardEnvelope>(bytes.copyOf(it)).isRight() }).isNull()
        }
    }

    @Nested
    inner class `given correctly signed but malformed content` {
        @Test
        fun `decoding throws no exception`() {
            val random = Random(SEED)
            val validMessages = listOf(codec.encode(envelope), codec.encode<PeerRequest>(FetchNotes(Revision(3))))
            val thrown = (1..ROUNDS).firstNotNullOfOrNull {
                val content = content(random, validMessages)
                val bytes = content + signer.sign(content)
                runCatching {
                    codec.decode<ForwardEnvelope>(bytes)
                    codec.decode<PeerRequest>(bytes)
                    codec.decode<PeerResponse>(bytes)
                }.exceptionOrNull()
            }
            expectThat(thrown).isNull()
        }

        private fun content(random: Random, validMessages: List<ByteArray>): ByteArray {
            if (random.nextBoolean()) return random.nextBytes(random.nextInt(1, 200))
            val bytes = validMessages.random(random).dropLast(MessageSigner.SIGNATURE_BYTES).toByteArray()
            repeat(random.nextInt(1, 4)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
            return bytes.copyOf(random.nextInt(1, bytes.size + 1))
        }

        @Test
        fun `deeply nested content is rejected`() {
            val content = ByteArray(MAXIMUM_BYTES - MessageSigner.SIGNATURE_BYTES) { 0x9f.toByte() }
            val decoded = codec.decode<ForwardEnvelope>(content + signer.sign(content))
            expectThat(decoded.leftOrNull()).isEqualTo(RejectedMessage.CONTENT)
        }
    }

    @Nested
    inner class `given a message above the size limit` {
        @Test
        fun `it is rejected without being decoded`() {
            val decoded = codec.decode<ForwardEnvelope>(ByteArray(MAXIMUM_BYTES + 1))
            expectThat(decoded.leftOrNull()).isEqualTo(RejectedMessage.LENGTH)
        }
    }

    private companion object {
        const val MAXIMUM_BYTES = 65_536
        const val SEED = 20_261_204
        const val ROUNDS = 20_000
    }
}
