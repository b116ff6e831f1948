/*
 * Replicas that announce in their responses that they are leaving, while they are still registered as ready.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.forwarding.fixture.RecordedRequest
import org.buckthornwheel.forwarding.fixture.ReplicaConnection
import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.buckthornwheel.forwarding.fixture.chunk
import org.buckthornwheel.forwarding.fixture.chunkedHead
import org.buckthornwheel.forwarding.fixture.event
import org.buckthornwheel.forwarding.fixture.rejection
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.io.Closeable
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds

internal class LeavingReplicaTest {
    private val resources = ArrayList<Closeable>()
    private val host = host("host-1")

    @AfterEach
    fun close() = resources.forEach { it.close() }

    private fun host(name: String, vararg peers: RunningHost): RunningHost =
        RunningHost(name, seedAddresses = peers.map { it.self.peerAddress }).also { resources += it }

    private fun replica(respond: ReplicaConnection.(RecordedRequest) -> Unit): ScriptedReplica =
        ScriptedReplica(respond = respond).also { resources += it }

    private fun leaving(): ScriptedReplica = replica { send(signedResponse(it, "answer", LEAVING)) }

    private fun send(path: String = "/read/x", to: RunningHost = host): Int? = to.caller().use { caller ->
        caller.request("POST", path, "q", "question")
        caller.readResponse()?.status
    }

    private val responses: Map<String, ReplicaConnection.(RecordedRequest) -> Unit> = mapOf(
        "a successful response" to { send(signedResponse(it, "answer", LEAVING)) },
        "the head of a stream" to { send(chunkedHead(it, LEAVING) + chunk(event(1)) + "0\r\n\r\n") },
        "a rejection" to { send(rejection(it, LEAVING)) },
        "an error" to { send("HTTP/1.1 500 No\r\nId: ${it.header("Id")}\r\n${LEAVING}Content-Length: 0\r\n\r\n") },
    )

    @TestFactory
    fun `a replica that announced in a response that it leaves gets no more requests`(): List<DynamicTest> =
        responses.map { (name, respond) ->
            dynamicTest(name) {
                val fixture = LeavingReplicaTest()
                val replica = fixture.replica(respond)
                fixture.host.add("r1", replica)
                repeat(3) { fixture.send(if ("stream" in name) "/stream/x" else "/read/x") }
                fixture.close()
                expectThat(replica.requests.size).isEqualTo(1)
            }
        }

    @Test
    fun `another replica serves the requests`() {
        host.add("r1", leaving())
        send()
        host.add("r2", replica { send(signedResponse(it, "answer")) })
        expectThat((1..5).map { send() }).isEqualTo(List(5) { 200 })
    }

    @Test
    fun `a response of another replica than the expected one says nothing`() {
        val replica = replica { send(rejection(it, LEAVING, status = 421)) }
        host.add("r1", replica)
        repeat(2) { send() }
        expectThat(replica.requests.size).isEqualTo(2)
    }

    @Test
    fun `its registration as ready does not undo the announcement`() {
        val replica = leaving()
        host.add("r1", replica)
        send()
        host.add("r1", replica)
        send()
        host.process.replicas.remove(ReplicaId("r1"))
        host.add("r1", replica)
        send()
        expectThat(replica.requests.size).isEqualTo(1)
    }

    @Test
    fun `a new start at its address gets requests`() {
        val replica = leaving()
        host.add("r1", replica)
        send()
        host.add("r1", replica, startedAt = 1)
        send()
        expectThat(replica.requests.size).isEqualTo(2)
    }

    /** The store delivers the entry of the new run only after its first responses, as when the host is behind. */
    @Test
    fun `a new run that announced leaving before the host knew its registration gets no more requests`() {
        val replica = leaving()
        host.add("r1", replica, startedAt = System.currentTimeMillis() - 60_000)
        val restartedAt = System.currentTimeMillis()
        Thread.sleep(50)
        send()
        host.add("r1", replica, startedAt = restartedAt)
        send()
        expectThat(replica.requests.size).isEqualTo(1)
    }

    @Test
    fun `other hosts learn of it`() {
        val second = host("host-2", host)
        val replica = leaving()
        listOf(host, second).forEach { it.add("r1", replica) }
        awaitUntil(10.seconds) { second.process.hosts.all().isNotEmpty() && host.process.hosts.all().isNotEmpty() }
        send()
        Thread.sleep(SEVERAL_HEARTBEATS_MILLISECONDS)
        repeat(3) { send(to = second) }
        expectThat(replica.requests.size).isEqualTo(1)
    }

    /** Guards against idle connections that keep a leaving replica busy until its idle timeout. */
    @Test
    fun `idle connections to it are closed`() {
        val closed = CopyOnWriteArrayList<Boolean>()
        val replica = replica { request ->
            send(signedResponse(request, "answer", LEAVING))
            closed += awaitClose(milliseconds = 3_000)
        }
        host.add("r1", replica)
        send()
        awaitUntil { closed.isNotEmpty() }
        expectThat(closed.single()).isTrue()
    }

    private companion object {
        const val LEAVING = "Leaving: 1\r\n"
        const val SEVERAL_HEARTBEATS_MILLISECONDS = 2_000L
    }
}
