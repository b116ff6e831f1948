/*
 * Responses of replicas and other hosts whose status line names no status.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.forwarding.fixture.HostWithReplicas
import org.buckthornwheel.forwarding.fixture.RecordedRequest
import org.buckthornwheel.forwarding.fixture.ReplicaConnection
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.util.concurrent.atomic.AtomicInteger

internal class ImpossibleStatusTest {
    private val setup = HostWithReplicas()

    @AfterEach
    fun close() = setup.close()

    /** A signed response whose status line has [status] in the place of a status. */
    private fun responseWith(status: String, request: RecordedRequest): String =
        "HTTP/1.1 $status Text\r\nId: ${request.header("Id")}\r\nSignature: s\r\nContent-Length: 6\r\n\r\nbroken"

    /** What a caller of [path] gets from a host whose two replicas both respond with [respond]. */
    private fun received(path: String, respond: ReplicaConnection.(RecordedRequest) -> Unit): String =
        HostWithReplicas().use { own ->
            repeat(2) { own.replica("r$it", respond) }
            val response = own.sendRequest(path) ?: return "nothing"
            "${response.status}, signature ${response.header("Signature")}, body \"${response.body}\""
        }

    private fun expectNoAnswer(vararg statuses: String) {
        val paths = listOf("/act/x", "/read/x", "/stream/x")
        val cases = statuses.flatMap { status -> paths.map { it to status } }
        val all = cases.associateWith { (path, status) -> received(path) { send(responseWith(status, it)) } }
        expectThat(all.filterValues { it != BAD_GATEWAY }).isEmpty()
    }

    /** Guards against a number that is no status but reaches the caller as one. */
    @Test
    fun `a response with status 000 is no answer`() = expectNoAnswer("000")

    @Test
    fun `a response with a status below 100 is no answer`() = expectNoAnswer("001", "099")

    @Test
    fun `a response with a status above 599 is no answer`() = expectNoAnswer("600", "999")

    @Test
    fun `a response whose status has not three digits is no answer`() =
        expectNoAnswer("0", "20", "0200", "1000", "2000", "+200", "-20", "2x0", "abc")

    /** Guards against bytes of another protocol that look like the status line of a response. */
    @Test
    fun `a response of another protocol is no answer`() {
        val lines = listOf("FOO/1.1 200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "RTSP/1.0 200 OK")
        val all = lines.associateWith { line ->
            received("/act/x") { send(signedResponse(it, "answer").replaceFirst("HTTP/1.1 200 OK", line)) }
        }
        expectThat(all.filterValues { it != BAD_GATEWAY }).isEmpty()
    }

    @Test
    fun `an idempotent request whose first response has status 000 is answered by another replica`() {
        val responses = AtomicInteger()
        val replicas = listOf("r1", "r2").map { id ->
            setup.replica(id) {
                val isFirst = responses.incrementAndGet() == 1
                send(if (isFirst) responseWith("000", it) else signedResponse(it, "answer"))
            }
        }
        expectThat(setup.sendRequest("/read/x")?.body).isEqualTo("answer")
        expectThat(replicas.map { it.requests.size }).isEqualTo(listOf(1, 1))
    }

    @Test
    fun `a request that must not be repeated is sent once although its response has status 000`() {
        val replicas = listOf("r1", "r2").map { id -> setup.replica(id) { send(responseWith("000", it)) } }
        setup.sendRequest("/act/x")
        expectThat(replicas.sumOf { it.requests.size }).isEqualTo(1)
    }

    @Test
    fun `a connection on which a response with status 000 arrived is not used again`() {
        val responses = AtomicInteger()
        val replica = setup.replica {
            send(if (responses.incrementAndGet() == 1) responseWith("000", it) else signedResponse(it, "answer"))
        }
        setup.sendRequest("/act/x", id = "q1")
        expectThat(setup.sendRequest("/act/x", id = "q2")?.body).isEqualTo("answer")
        expectThat(replica.connections.get()).isEqualTo(2)
    }

    @Test
    fun `informational responses before the final one are discarded`() {
        setup.replica { request ->
            val informational = listOf(100, 102, 103, 199).joinToString("") { "HTTP/1.1 $it Text\r\nId: q1\r\n\r\n" }
            send(informational + signedResponse(request, "answer"))
        }
        expectThat(setup.sendRequest("/act/x")?.body).isEqualTo("answer")
    }

    /** Guards against bytes of another protocol that are awaited until the deadline of the request. */
    @Test
    fun `a change of protocol that was not asked for is no answer`() {
        val received = received("/act/x") {
            send("HTTP/1.1 101 Switching Protocols\r\nId: q1\r\n\r\n" + signedResponse(it, "answer"))
        }
        expectThat(received).isEqualTo(BAD_GATEWAY)
    }

    @Test
    fun `an informational response after which the connection ends is no answer`() {
        for (status in listOf(100, 102, 103, 199)) {
            val received = received("/act/x") {
                send("HTTP/1.1 $status Text\r\nId: q1\r\nSignature: s\r\n\r\n")
                close()
            }
            expectThat(received).describedAs("response after the status $status").isEqualTo(BAD_GATEWAY)
        }
    }

    @Test
    fun `bytes after a response that has no body reach no caller`() {
        for (status in listOf(204, 304)) {
            HostWithReplicas().use { own ->
                val replica = own.replica { send(responseWith("$status", it)) }
                repeat(2) {
                    expectThat(own.sendRequest("/act/x", id = "q$it")).isNotNull().and {
                        get { this.status }.isEqualTo(status)
                        get { body }.isEqualTo("")
                    }
                }
                expectThat(replica.connections.get()).isEqualTo(2)
            }
        }
    }

    /** Guards against a success without the body that its replica sent. */
    @Test
    fun `a response of status 205 with a body is no answer`() = expectNoAnswer("205")

    @Test
    fun `a response of another host with status 000 is no answer`() {
        val host = ScriptedReplica { send(responseWith("000", it)) }
        host.use {
            setup.forwardTo(host)
            expectThat(setup.sendRequest("/act/x")).isNotNull().get { status }.isEqualTo(502)
        }
        expectThat(host.requests.size).isEqualTo(1)
    }

    private companion object {
        const val BAD_GATEWAY = "502, signature null, body \"\""
    }
}
