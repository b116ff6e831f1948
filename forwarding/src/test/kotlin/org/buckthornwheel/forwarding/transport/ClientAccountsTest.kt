/*
 * Requests of client accounts: which keys are accepted, and what replicas and other hosts learn about the account.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.account.AccountKey
import org.buckthornwheel.decision.account.ClientAccount
import org.buckthornwheel.decision.entry.EntryHostProfile
import org.buckthornwheel.decision.manifest.Manifest
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.forwarding.fixture.RawResponse
import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.TestManifest
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class ClientAccountsTest {
    private val hosts = ArrayList<RunningHost>()
    private val replicas = ArrayList<ScriptedReplica>()

    @AfterEach
    fun close() {
        replicas.forEach { it.close() }
        hosts.forEach { it.close() }
    }

    private fun manifest(vararg accounts: ClientAccount, version: Long = 2): Manifest {
        val plain = TestManifest.of(version)
        val routes = plain.routes.map { if (it.name == "brief") it.copy(isPublic = true) else it }
        return plain.copy(routes = routes, accounts = accounts.toList(), requiresAccounts = true)
    }

    private fun account(name: String, key: String, homes: Set<String> = emptySet()) = ClientAccount(
        AccountName(name),
        setOf(AccountKey(key)),
        homes.map(::RegionName).toSet(),
        priority = null,
        limit = null,
    )

    private fun host(region: String = "north", seed: RunningHost? = null, manifest: Manifest): RunningHost {
        val host = RunningHost("$region-1", region, listOfNotNull(seed?.self?.peerAddress), revocationBound = 1.seconds)
        host.process.routingState.updateManifest(manifest)
        prove(host)
        hosts += host
        return host
    }

    private fun prove(host: RunningHost) = host.process.currency.readSent().applied()

    private fun replica(): ScriptedReplica =
        ScriptedReplica { request -> send(signedResponse(request, "answer")) }.also { replicas += it }

    /** Makes [peer], which records what it gets, known to [host] as a host of another region with a replica. */
    private fun addPeer(host: RunningHost, peer: ScriptedReplica) {
        val profile = EntryHostProfile(
            HostName("east-1"),
            Incarnation(1),
            ZoneName("east-a"),
            RegionName("east"),
            peer.address,
            peer.address,
            cores = 1.0,
        )
        host.process.hosts.recordHeartbeat(profile, isReady = true, 10.seconds, MonotonicClock.SYSTEM.now())
        host.add("e1", peer, region = "east")
    }

    private fun RunningHost.send(headers: String, path: String = "/act/x"): RawResponse? = caller().use {
        it.request("POST", path, "q1", "question", headers)
        it.readResponse()
    }

    @Nested
    inner class `given a host with accounts` {
        private val host = host(manifest = manifest(account("one", "key-1"), account("two", "key-2")))
        private val replica = replica().also { host.add("n1", it) }

        @Test
        fun `the replica gets the name of the account in place of the key, whatever name the caller sent`() {
            expectThat(host.send("Key: key-1\r\nAccount: two\r\naccount: three\r\n")).isNotNull()
                .get { status }.isEqualTo(200)
            val head = replica.requests.single().head
            expectThat(
                head.lines().filter {
                    it.startsWith("account", ignoreCase = true)
                },
            ).isEqualTo(listOf("Account: one"))
            expectThat("key-1" in head).isFalse()
        }

        @Test
        fun `a request without exactly one known key is rejected and reaches no replica`() {
            val unusable = listOf(
                "",
                "Key: key-3\r\n",
                "Key: \r\n",
                "Key: key-1\r\nKey: key-1\r\n",
                "Key: key-1,key-1\r\n",
                "Key: KEY-1\r\n",
                "Key: key-1\u00a0\r\n",
                "Account: one\r\n",
            )
            for (headers in unusable) {
                expectThat(host.send(headers)).isNotNull().and {
                    get { status }.isEqualTo(401)
                    get { header("Id") }.isEqualTo("q1")
                }
            }
            expectThat(replica.requests).isEmpty()
        }

        @Test
        fun `a key of 64 KB or with control characters is rejected and reaches no replica`() {
            val head = "POST /act/x HTTP/1.1\r\nHost: gateway.example\r\nId: q1\r\nContent-Length: 0\r\n"
            for (key in listOf("k".repeat(65_536), "key-1\u0001", "key-1\u0000")) {
                host.caller().use { caller ->
                    caller.send("${head}Key: $key\r\n\r\n")
                    expectThat(caller.readResponse()?.status in setOf(400, 401, 431)).isTrue()
                }
            }
            expectThat(replica.requests).isEmpty()
        }

        @Test
        fun `a public route needs no key, and passes on neither key nor name`() {
            for (headers in listOf("", "Key: key-1\r\nAccount: two\r\n", "Key: unknown\r\n")) {
                expectThat(host.send(headers, "/brief/x")).isNotNull().get { status }.isEqualTo(200)
                expectThat(replica.requests.last()) {
                    get { header("Key") }.isNull()
                    get { header("Account") }.isNull()
                }
            }
        }

        @Test
        fun `a key is rejected once a manifest without it is in force`() {
            host.process.routingState.updateManifest(manifest(account("one", "new"), version = 3))
            expectThat(host.send("Key: key-1\r\n")).isNotNull().get { status }.isEqualTo(401)
            expectThat(host.send("Key: new\r\n")).isNotNull().get { status }.isEqualTo(200)
        }

        @Test
        fun `keys are not accepted for longer than the bound after the last read of the store`() {
            awaitUntil(1.seconds) { host.process.currency.refusesAccounts }
            for (headers in listOf("Key: key-1\r\n", "Key: unknown\r\n")) {
                expectThat(host.send(headers)).isNotNull().and {
                    get { status }.isEqualTo(503)
                    get { header("Retry-After") }.isNotNull()
                }
            }
            expectThat(host.send("", "/brief/x")).isNotNull().get { status }.isEqualTo(200)
            prove(host)
            expectThat(host.send("Key: key-1\r\n")).isNotNull().get { status }.isEqualTo(200)
        }
    }

    @Test
    fun `a request is served only in the home regions of its account`() {
        val host = host(manifest = manifest(account("southern", "key-1", setOf("south"))))
        val replica = replica().also { host.add("n1", it) }
        expectThat(host.send("Key: key-1\r\n")).isNotNull().get { status }.isEqualTo(503)
        expectThat(replica.requests).isEmpty()
    }

    @Test
    fun `an account and a route without a common home region are rejected as not run`() {
        val plain = manifest(account("southern", "key-1", setOf("south")))
        val routes = plain.routes.map { it.copy(homeRegions = setOf(RegionName("north"))) }
        val host = host(manifest = plain.copy(routes = routes))
        host.add("n1", replica())
        expectThat(host.send("Key: key-1\r\n")).isNotNull().get { status }.isEqualTo(503)
    }

    @Test
    fun `a host of another region passes on the account, but never gets the key`() {
        val manifest = manifest(account("one", "key-1"))
        val north = host(manifest = manifest)
        val south = host("south", seed = north, manifest)
        val replica = replica()
        listOf(north, south).forEach { it.add("s1", replica, region = "south") }
        awaitUntil { north.process.hosts.ready(MonotonicClock.SYSTEM.now()).isNotEmpty() }
        prove(north)
        expectThat(north.send("Key: key-1\r\nAccount: two\r\n")).isNotNull().get { status }.isEqualTo(200)
        expectThat(replica.requests.single()) {
            get { header("Account") }.isEqualTo("one")
            get { header("Key") }.isNull()
        }
        val peer = replica()
        addPeer(north, peer)
        north.process.replicas.remove(ReplicaId("s1"))
        prove(north)
        north.send("Key: key-1\r\nAccount: two\r\n")
        val head = peer.requests.single().head
        expectThat("key-1" in head || "two" in head).isFalse()
        expectThat("Gateway-Envelope" in head).isTrue()
    }

    @Test
    fun `a caller cannot name its account in an envelope`() {
        val manifest = manifest(account("one", "key-1"))
        val north = host(manifest = manifest)
        val peer = replica()
        addPeer(north, peer)
        prove(north)
        north.send("Key: key-1\r\n")
        val envelope = checkNotNull(peer.requests.single().header("Gateway-Envelope"))
        val replica = replica().also { north.add("n1", it) }
        expectThat(north.send("Gateway-Envelope: $envelope\r\n")).isNotNull().get { status }.isEqualTo(401)
        expectThat(replica.requests).isEmpty()
    }

    @Test
    fun `without accounts, both headers are forwarded like any others`() {
        val host = host(manifest = TestManifest.of(version = 2))
        val replica = replica().also { host.add("n1", it) }
        expectThat(host.send("Key: key-1\r\nAccount: two\r\n")).isNotNull().get { status }.isEqualTo(200)
        expectThat(replica.requests.single()) {
            get { header("Key") }.isEqualTo("key-1")
            get { header("Account") }.isEqualTo("two")
        }
    }

    @Test
    fun `a host without a manifest answers 503, not 401`() {
        val host = RunningHost(knowsManifest = false, revocationBound = 1.seconds).also { hosts += it }
        Thread.sleep(700.milliseconds.inWholeMilliseconds)
        expectThat(host.send("Key: unknown\r\n")).isNotNull().get { status }.isEqualTo(503)
    }
}
