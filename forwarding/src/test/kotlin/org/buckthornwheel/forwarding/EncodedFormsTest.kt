package org.buckthornwheel.forwarding

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.account.share.QuotaReport
import org.buckthornwheel.decision.account.share.ReportedUse
import org.buckthornwheel.decision.manifest.RouteKind
import org.buckthornwheel.forwarding.exchange.PeerEnvelope
import org.buckthornwheel.forwarding.exchange.PeerOutcome
import org.buckthornwheel.forwarding.membership.AccountUseMessage
import org.buckthornwheel.forwarding.membership.Activity
import org.buckthornwheel.forwarding.membership.CompletionMessage
import org.buckthornwheel.forwarding.membership.CrashMessage
import org.buckthornwheel.forwarding.membership.Heartbeat
import org.buckthornwheel.forwarding.membership.LimitedReplica
import org.buckthornwheel.forwarding.membership.QuarantineMessage
import org.buckthornwheel.forwarding.membership.QuarantinedPartMessage
import org.buckthornwheel.forwarding.membership.ReadPart
import org.buckthornwheel.forwarding.membership.ReplicaLimitMessage
import org.buckthornwheel.forwarding.membership.ReplicaRead
import org.buckthornwheel.forwarding.membership.ReplicaWork
import org.buckthornwheel.forwarding.membership.SenderDescription
import org.buckthornwheel.forwarding.membership.SuspectMessage
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.HexFormat

/**
 * Compares messages between hosts with the forms recorded in `encoded-forms.txt`: CBOR as hexadecimal, or the headers
 * of a forwarded request.
 *
 * Names of properties and enum values are part of these forms. A rename without `@SerialName` would make hosts of two
 * versions misread each other.
 */
internal class EncodedFormsTest {
    private val sender = SenderDescription(
        HostName("host-1"),
        Incarnation(1001),
        ZoneName("zone-1"),
        RegionName("region-1"),
        NetworkAddress("192.0.2.1", 8080),
        NetworkAddress("192.0.2.1", 8082),
        cores = 0.5,
    )
    private val activity = Activity(
        listOf(ReplicaWork("replica-1", requests = 3, tokens = 54_000, prefillTokens = 17_000)),
        listOf(ReplicaRead("replica-2", listOf(ReadPart("part-1", 13_300)))),
    )
    private val brief = Heartbeat(sender, isReady = false, intervalMilliseconds = 1_000)
    private val full = Heartbeat(sender, isReady = true, intervalMilliseconds = 2_000, activity, revision = 123_456)
    private val quarantine = QuarantineMessage(
        listOf(CrashMessage("replica-1", 1_796_378_654_445, 250, true, listOf(SuspectMessage("part-1", 1)))),
        listOf(CompletionMessage("part-2", 1_200)),
        listOf(QuarantinedPartMessage("part-1", age = 900, probes = 1, probeIn = 14_100, idle = 30)),
    )
    private val limits = ReplicaLimitMessage(
        AccountUseMessage.of(QuotaReport(7, listOf(ReportedUse(3_000_000_000, used = 12_000, demand = 4_100)))),
        listOf(LimitedReplica("replica-1", 1_796_378_654_445, requestsPerSecond = 3.5, age = 250)),
    )
    private val envelope = PeerEnvelope(
        routeName = "route-1",
        version = 7,
        service = ServiceName("service-1"),
        kind = RouteKind.STREAMING,
        isResumable = true,
        priority = 2,
        targetLatencyMilliseconds = 300,
        maximumAttempts = 4,
        homeRegions = setOf(RegionName("region-1"), RegionName("region-2")),
        remainingMilliseconds = 5_000,
    )

    private val specimens: List<Specimen<*>> =
        listOf(heartbeat("heartbeat-brief", brief), heartbeat("heartbeat-full", full)) +
            heartbeat("heartbeat-quarantine", brief.copy(quarantine = quarantine)) +
            heartbeat("heartbeat-accounts", brief.copy(refusesAccounts = true)) +
            heartbeat("heartbeat-limits", brief.copy(limits = limits)) +
            heartbeat("heartbeat-era", brief.copy(era = 3)) +
            heartbeat("heartbeat-manifest", brief.copy(manifestVersion = 11)) +
            RouteKind.entries.map { kind -> envelope("envelope-${kind.ordinal}", envelope.copy(kind = kind)) } +
            envelope("envelope-account", envelope.copy(account = AccountName("account-1"))) +
            PeerOutcome.entries.map { outcome -> outcome("outcome-${outcome.ordinal}", outcome) } +
            envelope("envelope-origin", envelope.copy(origin = HostName("host-1"))) +
            envelope("envelope-software-version", envelope.copy(softwareVersion = "v1.1"))

    private val recorded: Map<String, String> = checkNotNull(javaClass.getResource("/encoded-forms.txt")).readText()
        .lines().filter { it.isNotEmpty() }.associate { it.substringBefore(' ') to it.substringAfter(' ') }

    @TestFactory
    fun `a message is written in its recorded form and read back as an equal message`(): List<DynamicTest> =
        specimens.map { dynamicTest(it.name) { it.check(recorded[it.name]) } }

    @Test
    fun `each recorded form belongs to a message`() {
        expectThat(recorded.keys.toList()).isEqualTo(specimens.map { it.name })
    }

    private fun heartbeat(name: String, message: Heartbeat): Specimen<Heartbeat> = Specimen(
        name,
        message,
        { HexFormat.of().formatHex(it.encode()) },
        { Heartbeat.decode(HexFormat.of().parseHex(it)) },
    )

    private fun envelope(name: String, message: PeerEnvelope): Specimen<PeerEnvelope> = Specimen(
        name,
        message,
        { headerText { headers -> PeerEnvelope.write(headers, it) } },
        { PeerEnvelope.extract(headers(it)) },
    )

    private fun outcome(name: String, message: PeerOutcome): Specimen<PeerOutcome> = Specimen(
        name,
        message,
        { headerText { headers -> PeerEnvelope.setOutcome(headers, it) } },
        { PeerEnvelope.outcome(headers(it)) },
    )

    private fun headerText(write: (HttpHeaders) -> Unit): String =
        DefaultHttpHeaders().also(write).single().let { (name, value) -> "$name: $value" }

    private fun headers(text: String): HttpHeaders =
        DefaultHttpHeaders().add(text.substringBefore(": "), text.substringAfter(": "))

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
