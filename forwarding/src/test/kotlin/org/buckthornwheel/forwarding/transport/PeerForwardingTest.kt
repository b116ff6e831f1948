/*
 * Forwarding of requests to a host of another region.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.entry.EntryHostProfile
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.forwarding.fixture.RawCaller
import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.TestManifest
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.buckthornwheel.forwarding.membership.EstateRevision
import org.buckthornwheel.forwarding.membership.EstateSync
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

internal class PeerForwardingTest {
    private val north = RunningHost("north-1", "north")
    private val south = RunningHost("south-1", "south", seedAddresses = listOf(north.self.peerAddress))
    private val replicas = ArrayList<ScriptedReplica>()

    @AfterEach
    fun close() {
        replicas.forEach { it.close() }
        north.close()
        south.close()
    }

    /** Registers a replica of the southern region at both hosts, and waits until a heartbeat has reached `north`. */
    private fun addSouthern(replica: ScriptedReplica): ScriptedReplica {
        replicas += replica
        listOf(north, south).forEach { it.add("s1", replica, region = "south") }
        awaitUntil { north.process.hosts.ready(MonotonicClock.SYSTEM.now()).isNotEmpty() }
        return replica
    }

    private fun echoingReplica() = ScriptedReplica { request ->
        val body = "answer to ${request.body}"
        send(
            "HTTP/1.1 200 OK\r\nId: ${request.header("Id")}\r\nSignature: s\r\n" +
                "Content-Length: ${body.length}\r\n\r\n$body",
        )
    }

    @Test
    fun `the response is relayed with its signature and without the headers between hosts`() {
        val replica = addSouthern(echoingReplica())
        north.caller().use { caller ->
            caller.request("POST", "/act/x?y=1", "q1", "question")
            expectThat(caller.readResponse()).isNotNull().and {
                get { body }.isEqualTo("answer to question")
                get { header("Signature") }.isEqualTo("s")
                get { header("Gateway-Outcome") }.isNull()
            }
        }
        expectThat(replica.requests.single()) {
            get { line }.isEqualTo("POST /act/x?y=1 HTTP/1.1")
            get { header("Gateway-Envelope") }.isNull()
        }
    }

    @Test
    fun `a request from another region is not forwarded again`() {
        val replica = addSouthern(echoingReplica())
        south.process.replicas.remove(ReplicaId("s1"))
        south.add("n1", replica, region = "north")
        north.caller().use { caller ->
            caller.request("POST", "/act/x", "q1", "question")
            expectThat(caller.readResponse()).isNotNull().and {
                get { status }.isEqualTo(503)
                get { header("Retry-After") }.isNotNull()
            }
        }
        expectThat(replica.requests.size).isEqualTo(0)
    }

    @Test
    fun `a request that another region rejects without sending it is served locally once a replica is available`() {
        val replica = addSouthern(echoingReplica())
        south.process.replicas.remove(ReplicaId("s1"))
        north.caller().use { caller ->
            caller.request("POST", "/patient/x", "q1", "question")
            Thread.sleep(20)
            north.add("n1", replica, region = "north")
            expectThat(caller.readResponse()).isNotNull().get { status }.isEqualTo(200)
        }
    }

    /** Guards against a host that answers a caller's request itself because of the request's path. */
    @Test
    fun `a forwarded request with the path of the call between hosts is run by a replica`() {
        listOf(north, south).forEach { host ->
            host.process.estate = RecordingEstateSync(revision = 8)
            host.process.routingState.updateManifest(TestManifest.of(version = 2, catchAll = true))
        }
        val replica = addSouthern(echoingReplica())
        for (path in listOf("/estate", "/estate?after=0", "/%65state")) {
            north.caller().use { caller ->
                caller.request("POST", path, "q1", "question")
                expectThat(caller.readResponse()).isNotNull().get { body }.isEqualTo("answer to question")
            }
            expectThat(replica.requests.last().line).isEqualTo("POST $path HTTP/1.1")
        }
    }

    /** Guards against the loss of a request, and of the memory of its body, because its path cannot be decoded. */
    @Test
    fun `a forwarded request with a malformed escape in its path is run by a replica`() {
        val replica = addSouthern(echoingReplica())
        for (path in listOf("/act/50%", "/act/%zz", "/act/x?y=%")) {
            north.caller().use { caller ->
                caller.request("POST", path, "q1", "question")
                expectThat(caller.readResponse()).isNotNull().get { body }.isEqualTo("answer to question")
            }
            expectThat(replica.requests.last().line).isEqualTo("POST $path HTTP/1.1")
        }
    }

    /** Guards against a connection that ends without an answer, and keeps the memory of its body. */
    @Test
    fun `a call between hosts with a malformed parameter is rejected`() {
        RawCaller(south.self.peerAddress).use { caller ->
            caller.request("POST", "/estate?after=%", "q1", "question")
            expectThat(caller.readResponse()).isNotNull().get { status }.isEqualTo(400)
        }
    }

    /** Guards against a success that no replica gave, from whatever listens at the address of a host. */
    @Test
    fun `a successful response of another host without a replica's signature is not relayed`() {
        val impostor = ScriptedReplica { request ->
            send("HTTP/1.1 200 OK\r\nId: ${request.header("Id")}\r\nContent-Length: 2\r\n\r\nno")
        }
        replicas += impostor
        north.add("e1", impostor, region = "east")
        val host = EntryHostProfile(
            HostName("east-1"),
            Incarnation(1),
            ZoneName("east-a"),
            RegionName("east"),
            callerAddress = impostor.address,
            peerAddress = impostor.address,
            cores = 1.0,
        )
        north.process.hosts.recordHeartbeat(host, isReady = true, 10.seconds, MonotonicClock.SYSTEM.now())
        north.caller().use { caller ->
            caller.request("POST", "/act/x", "q1", "question")
            expectThat(caller.readResponse()).isNotNull().get { status }.isEqualTo(502)
        }
        expectThat(impostor.requests.size).isEqualTo(1)
    }

    /** Guards against a second run of a request whose replica sends a header of the calls between hosts. */
    @Test
    fun `a replica cannot state on behalf of its host that a request was not run`() {
        val local = echoingReplica().also { replicas += it }
        addSouthern(
            ScriptedReplica { request ->
                north.add("n1", local, region = "north")
                send(signedResponse(request, "answer", headers = "Gateway-Outcome: not-sent\r\n"))
            },
        )
        north.caller().use { caller ->
            caller.request("POST", "/act/x", "q1", "question")
            expectThat(caller.readResponse()).isNotNull().and {
                get { body }.isEqualTo("answer")
                get { header("Gateway-Outcome") }.isNull()
            }
        }
        expectThat(local.requests.size).isEqualTo(0)
    }

    @Test
    fun `work in the other region is cancelled when the caller disconnects`() {
        val isCancelled = AtomicBoolean()
        val replica = addSouthern(ScriptedReplica { isCancelled.set(awaitClose(1_000)) })
        north.caller().use { caller ->
            caller.request("POST", "/act/x", "q1", "question")
            awaitUntil { replica.requests.size == 1 }
        }
        awaitUntil { isCancelled.get() }
    }

    @Test
    fun `a stopping host gets no more requests`() {
        addSouthern(echoingReplica())
        val stopping = kotlin.concurrent.thread { south.process.stop() }
        val now = { MonotonicClock.SYSTEM.now() }
        awaitUntil { north.process.hosts.ready(now()).isEmpty() }
        stopping.join()
    }

    @Test
    fun `a host that stays behind the revision of another host fetches the changes`() {
        val behind = RecordingEstateSync(revision = 3)
        south.process.estate = behind
        north.process.estate = RecordingEstateSync(revision = 8)
        awaitUntil { behind.applied == "changes after 3" }
    }

    /** Guards against a host that has read an older manifest from a store that returned from a copy. */
    @Test
    fun `a host whose manifest stays older than another host's fetches all items, whatever the revisions`() {
        val behind = RecordingEstateSync(revision = 8)
        south.process.estate = behind
        north.process.estate = RecordingEstateSync(revision = 3)
        north.process.routingState.updateManifest(TestManifest.of(version = 2))
        awaitUntil { behind.applied == "changes after 0" }
    }

    /** Guards against requests without end by a host that cannot read the newer manifest. */
    @Test
    fun `a host that cannot apply a newer manifest asks for it ever more rarely, and soon for the next one`() {
        val source = RecordingEstateSync(revision = 3)
        south.process.estate = RecordingEstateSync(revision = 8)
        north.process.estate = source
        north.process.routingState.updateManifest(TestManifest.of(version = 2))
        awaitUntil { source.requests.get() == 1 }
        Thread.sleep(8_000)
        expectThat(source.requests.get()).isLessThanOrEqualTo(3)
        north.process.routingState.updateManifest(TestManifest.of(version = 3))
        val requests = source.requests.get()
        awaitUntil { source.requests.get() > requests }
    }

    private class RecordingEstateSync(revision: Long) : EstateSync {
        override val revision = EstateRevision(era = 0, revision)

        @Volatile
        var applied: String? = null

        val requests = AtomicInteger()

        override fun changesAfter(revision: EstateRevision): String {
            requests.incrementAndGet()
            return "changes after ${revision.number}"
        }

        override fun applyChanges(changes: String) {
            applied = changes
        }
    }
}
