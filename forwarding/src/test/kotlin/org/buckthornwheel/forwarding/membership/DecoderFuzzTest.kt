/*
 * Damaged messages between hosts.
 *
 * Anything may arrive at the address for other hosts. An exception in a decoder must not cost more than the message.
 */

package org.buckthornwheel.forwarding.membership

import io.netty.handler.codec.http.DefaultHttpHeaders
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.entry.EntryHostProfile
import org.buckthornwheel.decision.manifest.RouteKind
import org.buckthornwheel.decision.quarantine.PromptPartQuarantine
import org.buckthornwheel.forwarding.exchange.PeerEnvelope
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isNull
import java.util.Base64
import kotlin.random.Random

internal class DecoderFuzzTest {
    private val random = Random(SEED)

    private fun damaged(valid: ByteArray): ByteArray {
        val bytes = valid.copyOf(random.nextInt(1, valid.size + 1))
        repeat(random.nextInt(MAXIMUM_CHANGES)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
        return bytes
    }

    private fun firstEscaping(valid: ByteArray, decode: (ByteArray) -> Unit): Throwable? =
        (1..ROUNDS).firstNotNullOfOrNull { runCatching { decode(damaged(valid)) }.exceptionOrNull() }

    @Test
    fun `no damaged heartbeat escapes its decoder`() {
        val sender = EntryHostProfile(
            HostName("host-1"),
            Incarnation(1),
            ZoneName("north-a"),
            RegionName("north"),
            NetworkAddress("10.0.0.1", 80),
            NetworkAddress("10.0.0.1", 81),
            cores = 0.5,
        )
        val activity = Activity(
            listOf(ReplicaWork("i-1", 3, 54_000, 17_000)),
            listOf(ReplicaRead("i-1", listOf(ReadPart("5c1e", 13_300)))),
        )
        val quarantine = QuarantineMessage(
            listOf(CrashMessage("i-1", 7, 250, true, listOf(SuspectMessage("5c1e", 1)))),
            listOf(CompletionMessage("91bd", 1_200)),
            listOf(QuarantinedPartMessage("5c1e", age = 900, probes = 1, probeIn = 14_100, idle = 30)),
        )
        val valid = Heartbeat(
            SenderDescription.of(sender),
            isReady = true,
            250,
            activity,
            revision = 7,
            quarantine,
        ).encode()
        val receiver = PromptPartQuarantine()
        val escaped = firstEscaping(valid) { bytes ->
            val now = MonotonicInstant(0)
            Heartbeat.decode(bytes)?.quarantine?.let { receiver.merge(it.report(now), now) }
            receiver.update(now) { false }
        }
        expectThat(escaped).isNull()
    }

    @Test
    fun `no damaged envelope of a forwarded request escapes its decoder`() {
        val envelope = PeerEnvelope(
            "route", 3, ServiceName("s"), RouteKind.STREAMING, true, 1, 600, 2, setOf(RegionName("north")), 4_000,
        )
        val headers = DefaultHttpHeaders()
        PeerEnvelope.write(headers, envelope)
        val name = headers.names().single()
        val valid = Base64.getUrlDecoder().decode(headers.get(name))
        val escaped = firstEscaping(valid) { bytes ->
            headers.set(name, Base64.getUrlEncoder().encodeToString(bytes))
            PeerEnvelope.extract(headers)?.policy(MonotonicInstant(0))
        }
        expectThat(escaped).isNull()
    }

    private companion object {
        const val SEED = 20_261_204
        const val ROUNDS = 10_000
        const val MAXIMUM_CHANGES = 6
    }
}
