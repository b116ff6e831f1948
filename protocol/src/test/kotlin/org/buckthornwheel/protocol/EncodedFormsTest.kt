package org.buckthornwheel.protocol

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.serializer
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.estate.RegionItem
import org.buckthornwheel.protocol.administration.AdministrationProblem
import org.buckthornwheel.protocol.administration.AuditEntry
import org.buckthornwheel.protocol.administration.AuditResult
import org.buckthornwheel.protocol.administration.AuditView
import org.buckthornwheel.protocol.administration.AuditedAction
import org.buckthornwheel.protocol.administration.EstateView
import org.buckthornwheel.protocol.administration.HostView
import org.buckthornwheel.protocol.administration.NoteVerdict
import org.buckthornwheel.protocol.administration.TargetView
import org.buckthornwheel.protocol.caller.ChunkChoice
import org.buckthornwheel.protocol.caller.ChunkDelta
import org.buckthornwheel.protocol.caller.CompletionChunk
import org.buckthornwheel.protocol.caller.CompletionRequestFields
import org.buckthornwheel.protocol.caller.EntryHost
import org.buckthornwheel.protocol.caller.EntryHosts
import org.buckthornwheel.protocol.caller.Problem
import org.buckthornwheel.protocol.peer.ForwardEnvelope
import org.buckthornwheel.protocol.peer.MessageSigner
import org.buckthornwheel.protocol.peer.PeerCodec
import org.buckthornwheel.protocol.peer.PeerMessage
import org.buckthornwheel.protocol.peer.PeerRequest
import org.buckthornwheel.protocol.peer.PeerResponse
import org.buckthornwheel.protocol.peer.SigningKey
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.HexFormat

/**
 * Compares each message with the form recorded in `encoded-forms.txt`: signed CBOR between hosts, JSON otherwise.
 *
 * The names of most classes, properties and enum values are part of the encoded form. A rename without `@SerialName`
 * would make hosts of two versions, or a host and its callers, misread each other.
 */
class EncodedFormsTest {
    private val codec = PeerCodec(MessageSigner(listOf(SigningKey("key", ByteArray(32) { 1 }))), maximumBytes = 65_536)
    private val entry = EntryHost("host-1", "region-1", "zone-1", "192.0.2.1:8080")
    private val audit = AuditEntry(
        1_700_000_000_001,
        "host-1",
        "who-1",
        AuditedAction.SUBMIT_NOTE,
        "note-1",
        AuditResult.ACCEPTED,
        "detail-1",
    )
    private val choice = ChunkChoice(
        index = 1,
        delta = ChunkDelta("content-1", JsonPrimitive("call-1")),
        text = "text-1",
        finishReason = "stop",
    )

    private val peerSpecimens =
        PeerSpecimens.requests.map { (name, message) -> signed<PeerRequest>(name, message) } +
            PeerSpecimens.responses.map { (name, message) -> signed<PeerResponse>(name, message) } +
            PeerSpecimens.datagrams.map { (name, message) -> signed<PeerMessage>(name, message) } +
            PeerSpecimens.envelopes.map { (name, message) -> signed<ForwardEnvelope>(name, message) }

    private val jsonSpecimens = listOf(
        json("estate", EstateView(Revision(5), listOf(RegionItem(RegionName("region-1"))))),
        json("host", HostView("host-1", "region-1", "zone-1", "192.0.2.1:8080", "192.0.2.1:8082", "alive", 5, 6)),
        json("target", TargetView("target-1", "zone-1", 1, 2, 3, ejected = true, leaving = true)),
        json("target-null", TargetView("target-1", "zone-1", null, null, 3, ejected = false, leaving = false)),
        json("verdict", NoteVerdict(accepted = true, revision = Revision(5), findings = listOf("finding-1"))),
        json("verdict-small", NoteVerdict(accepted = false)),
        json("administration-problem", AdministrationProblem("type-1", "title-1", 409, "detail-1")),
        json("audit", AuditView(listOf(audit), "missing-1")),
        json("audit-small", AuditView(emptyList())),
        json("audited-actions", AuditedAction.entries.toList()),
        json("audit-results", AuditResult.entries.toList()),
        json("entry-hosts", EntryHosts(listOf(entry), timeToLiveSeconds = 30)),
        json("completion-request", CompletionRequestFields("model-1", stream = true, maximumTokens = 16)),
        json("problem", Problem("type-1", "title-1", 503, "detail-1", "route", "peer-1", "not-run", "request-1")),
        json("problem-small", Problem("type-1", "title-1", 503, "detail-1", "route", outcome = "unknown")),
        json("chunk", CompletionChunk(listOf(choice), JsonPrimitive("error-1"))),
        json("chunk-small", CompletionChunk(listOf(ChunkChoice(delta = ChunkDelta())))),
    )

    private val specimens: List<Specimen<*>> = peerSpecimens + jsonSpecimens

    private val recorded: Map<String, String> = checkNotNull(javaClass.getResource("/encoded-forms.txt")).readText()
        .lines().filter { it.isNotEmpty() }.associate { it.substringBefore(' ') to it.substringAfter(' ') }

    @TestFactory
    fun `a message is written in its recorded form and read back as an equal message`(): List<DynamicTest> =
        specimens.map { dynamicTest(it.name) { it.check(recorded[it.name]) } }

    @Test
    fun `each recorded form belongs to a message`() {
        expectThat(recorded.keys.toList()).isEqualTo(specimens.map { it.name })
    }

    private inline fun <reified Message> signed(name: String, message: Message): Specimen<Message> = Specimen(
        name,
        message,
        { HexFormat.of().formatHex(codec.encode(it)) },
        { codec.decode<Message>(HexFormat.of().parseHex(it)).getOrNull() },
    )

    private inline fun <reified Message> json(name: String, message: Message): Specimen<Message> {
        val serializer: KSerializer<Message> = serializer()
        return Specimen(
            name,
            message,
            { Json.encodeToString(serializer, it) },
            { Json.decodeFromString(serializer, it) },
        )
    }

    private class Specimen<Message>(
        val name: String,
        val message: Message,
        val encode: (Message) -> String,
        val decode: (String) -> Message?,
    ) {
        fun check(form: String?) {
            expectThat(encode(message)).isEqualTo(form)
            expectThat(decode(form.orEmpty())).isEqualTo(message)
        }
    }
}
