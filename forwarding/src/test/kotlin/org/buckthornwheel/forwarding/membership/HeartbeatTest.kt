package org.buckthornwheel.forwarding.membership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborLabel
import kotlinx.serialization.decodeFromByteArray
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.account.share.QuotaReport
import org.buckthornwheel.decision.account.share.ReportedUse
import org.buckthornwheel.decision.entry.EntryHostProfile
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import kotlin.random.Random

internal class HeartbeatTest {
    private val sender = SenderDescription.of(
        EntryHostProfile(
            HostName("edge-salish-s-a-12"),
            Incarnation(1_796_378_654_445),
            ZoneName("salish-s-a"),
            RegionName("salish-south"),
            NetworkAddress("10.128.64.101", 18_144),
            NetworkAddress("10.128.64.101", 17_660),
            cores = 0.36,
        ),
    )
    private val brief = Heartbeat(sender, isReady = true, intervalMilliseconds = 1_000, revision = 123_456)

    @Test
    fun `a decoded heartbeat equals the encoded one`() {
        val work = listOf(ReplicaWork("i-d1b18094d1", requests = 3, tokens = 54_000, prefillTokens = 0))
        val reads = listOf(ReplicaRead("i-d1b18094d1", listOf(ReadPart("5c1e07a2", 13_300))))
        val heartbeat = brief.copy(activity = Activity(work, reads))
        expectThat(Heartbeat.decode(heartbeat.encode())).isEqualTo(heartbeat)
    }

    /** Guards against hosts of the previous build taking those of this one for dead. */
    @OptIn(ExperimentalSerializationApi::class)
    @Test
    fun `a host of the build without quarantine reads a heartbeat that has one`() {
        val quarantine = QuarantineMessage(
            listOf(CrashMessage("i-1", 7, 250, true, listOf(SuspectMessage("5c1e", 1)))),
            listOf(CompletionMessage("91bd", 1_200)),
            listOf(QuarantinedPartMessage("5c1e", age = 900, probes = 1, probeIn = 14_100, idle = 30)),
        )
        val codec = Cbor {
            ignoreUnknownKeys = true
            preferCborLabelsOverNames = true
        }
        val read = codec.decodeFromByteArray<PreviousHeartbeat>(brief.copy(quarantine = quarantine).encode())
        expectThat(read).isEqualTo(PreviousHeartbeat(sender, isReady = true, 1_000, revision = 123_456))
    }

    @OptIn(ExperimentalSerializationApi::class)
    @Test
    fun `a host of the build without client accounts reads a heartbeat that rejects them`() {
        val codec = Cbor {
            ignoreUnknownKeys = true
            preferCborLabelsOverNames = true
        }
        val read = codec.decodeFromByteArray<PreviousHeartbeat>(brief.copy(refusesAccounts = true).encode())
        expectThat(read).isEqualTo(PreviousHeartbeat(sender, isReady = true, 1_000, revision = 123_456))
        expectThat(brief.copy(refusesAccounts = true).encode().size).isLessThanOrEqualTo(150)
    }

    /** Guards against hosts of the previous build taking those of this one for dead. */
    @OptIn(ExperimentalSerializationApi::class)
    @Test
    fun `a host of the build without leaving replicas reads a heartbeat that has some`() {
        val heartbeat = brief.copy(leaving = listOf(LeavingReplica("i-1", startedAt = 7)))
        expectThat(Heartbeat.decode(heartbeat.encode())).isEqualTo(heartbeat)
        val codec = Cbor {
            ignoreUnknownKeys = true
            preferCborLabelsOverNames = true
        }
        val read = codec.decodeFromByteArray<PreviousHeartbeat>(heartbeat.encode())
        expectThat(read).isEqualTo(PreviousHeartbeat(sender, isReady = true, 1_000, revision = 123_456))
    }

    /** Guards against hosts of the previous build taking those of this one for dead. */
    @OptIn(ExperimentalSerializationApi::class)
    @Test
    fun `a host of the build without limits of replicas reads a heartbeat that has some`() {
        val named = listOf(LimitedReplica("i-1", startedAt = 7, requestsPerSecond = 3.5, age = 250))
        val uses = AccountUseMessage.of(QuotaReport(7, listOf(ReportedUse(3_000_000_000, 12_000, 4_100))))
        val heartbeat = brief.copy(limits = ReplicaLimitMessage(uses, named))
        expectThat(Heartbeat.decode(heartbeat.encode())).isEqualTo(heartbeat)
        val codec = Cbor {
            ignoreUnknownKeys = true
            preferCborLabelsOverNames = true
        }
        val read = codec.decodeFromByteArray<PreviousHeartbeat>(heartbeat.encode())
        expectThat(read).isEqualTo(PreviousHeartbeat(sender, isReady = true, 1_000, revision = 123_456))
    }

    /** A heartbeat as the build before quarantine and accounts defines it. */
    @OptIn(ExperimentalSerializationApi::class)
    @Serializable
    internal data class PreviousHeartbeat(
        @CborLabel(1) val sender: SenderDescription,
        @CborLabel(2) val isReady: Boolean,
        @CborLabel(3) val intervalMilliseconds: Long,
        @CborLabel(4) val activity: Activity? = null,
        @CborLabel(5) val revision: Long = 0,
    )

    /** The traffic budget of a standby host is based on this size. */
    @Test
    fun `a heartbeat without activity has at most 150 bytes`() {
        expectThat(brief.encode().size).isLessThanOrEqualTo(150)
    }

    @Test
    fun `load at one replica adds at most 30 bytes`() {
        fun size(replicas: Int) = brief.copy(
            activity = Activity(List(replicas) { ReplicaWork("i-d1b18094d1", 3, 54_000, 17_000) }, emptyList()),
        ).encode().size
        expectThat(size(replicas = 20) - size(replicas = 10)).isLessThanOrEqualTo(300)
    }

    /** Guards against hosts of the previous build taking those of this one for dead. */
    @OptIn(ExperimentalSerializationApi::class)
    @Test
    fun `a host of the build without accounts reads a heartbeat that has them`() {
        val codec = Cbor {
            ignoreUnknownKeys = true
            preferCborLabelsOverNames = true
        }
        val report = QuotaReport(7, listOf(ReportedUse(3_000_000_000, 1_000_000_000_000, 860_312)))
        val heartbeat = brief.copy(accounts = AccountUseMessage.of(report))
        val read = codec.decodeFromByteArray<PreviousHeartbeat>(heartbeat.encode())
        expectThat(read).isEqualTo(PreviousHeartbeat(sender, isReady = true, 1_000, revision = 123_456))
        expectThat(Heartbeat.decode(heartbeat.encode())?.accounts?.report()).isEqualTo(report)
        expectThat(Heartbeat.decode(brief.encode())).isEqualTo(brief)
    }

    /** The number of accounts that a heartbeat may tell is based on this size. */
    @Test
    fun `an account adds at most 12 bytes after an hour at 70,000 tokens a second`() {
        fun size(accounts: Int): Int {
            val uses = List(accounts) { ReportedUse(3_000_000_000 + it, 252_000_000, 70_000) }
            return brief.copy(accounts = AccountUseMessage.of(QuotaReport(14_400, uses))).encode().size
        }
        expectThat(size(2) - size(1)).isLessThanOrEqualTo(12)
    }

    @Test
    fun `damaged reports of accounts are passed over or read as some report`() {
        val random = Random(SEED)
        repeat(10_000) {
            val bytes = brief.copy(
                accounts = AccountUseMessage.of(QuotaReport(3, listOf(ReportedUse(1, 2, 3)))),
            ).encode()
            repeat(random.nextInt(4)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
            Heartbeat.decode(bytes.copyOf(random.nextInt(1, bytes.size + 1)))?.accounts?.report()
        }
    }

    @Test
    fun `bytes that are not a heartbeat decode to null`() {
        expectThat(Heartbeat.decode(byteArrayOf(1, 2, 3))).isNull()
        expectThat(Heartbeat.decode(brief.encode().copyOf(20))).isNull()
    }

    private companion object {
        const val SEED = 20_261_206
    }
}
