/*
 * Retries and responses when replicas close connections, fail, or refuse requests.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.forwarding.fixture.HostWithReplicas
import org.buckthornwheel.forwarding.fixture.RecordedRequest
import org.buckthornwheel.forwarding.fixture.ReplicaConnection
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

internal class FailingReplicaTest {
    private val setup = HostWithReplicas()

    @AfterEach
    fun close() = setup.close()

    @Nested
    inner class `given connections that are closed` {
        @Test
        fun `a connection that is announced as closing is not reused`() {
            val replica = setup.replica { request ->
                send(signedResponse(request, "bye", "Connection: close\r\n"))
                close()
            }
            setup.sendRequest("/act/x", id = "q1")
            expectThat(setup.sendRequest("/act/x", id = "q2")?.body).isEqualTo("bye")
            expectThat(replica.connections.get()).isEqualTo(2)
        }

        @Test
        fun `a connection is not reused after its announced idle timeout`() {
            val replica = setup.replica { request ->
                send(signedResponse(request, "brief", "Keep-Alive: timeout=1\r\n"))
            }
            setup.sendRequest("/act/x", id = "q1")
            Thread.sleep(700)
            expectThat(setup.sendRequest("/act/x", id = "q2")?.body).isEqualTo("brief")
            expectThat(replica.connections.get()).isEqualTo(2)
        }

        @Test
        fun `a retryable request is sent to another replica after a reset`() {
            val replicas = ArrayList<ScriptedReplica>()
            replicas += setup.replica("r1") { resetOrRespond(replicas, it) }
            replicas += setup.replica("r2") { resetOrRespond(replicas, it) }
            expectThat(setup.sendRequest("/read/x", method = "GET", body = "")?.body).isEqualTo("second")
            expectThat(replicas.sumOf { it.requests.size }).isEqualTo(2)
        }

        @Test
        fun `a non-retryable request is sent once and not reported as not run`() {
            val first = setup.replica("r1") { reset() }
            val second = setup.replica("r2") { reset() }
            expectThat(setup.sendRequest("/act/x")?.status).isEqualTo(502)
            expectThat(first.requests.size + second.requests.size).isEqualTo(1)
        }

        private fun ReplicaConnection.resetOrRespond(replicas: List<ScriptedReplica>, request: RecordedRequest) {
            if (replicas.sumOf { it.requests.size } == 1) reset() else send(signedResponse(request, "second"))
        }
    }

    @Nested
    inner class `given error responses` {
        private fun ReplicaConnection.fail(request: RecordedRequest, body: String) =
            send(signedResponse(request, body).replace("200 OK", "500 Failed"))

        @Test
        fun `a retryable request is sent to another replica`() {
            val replicas = ArrayList<ScriptedReplica>()
            fun ReplicaConnection.serve(request: RecordedRequest) = if (replicas.sumOf { it.requests.size } == 1) {
                fail(request, "first")
            } else {
                send(signedResponse(request, "second"))
            }
            replicas += setup.replica("r1") { serve(it) }
            replicas += setup.replica("r2") { serve(it) }
            expectThat(setup.sendRequest("/read/x", method = "GET", body = "")?.body).isEqualTo("second")
        }

        @Test
        fun `the replica's own response is relayed if there is no other replica`() {
            setup.replica { fail(it, "reason") }
            expectThat(setup.sendRequest("/read/x", method = "GET", body = "")).isNotNull().and {
                get { status }.isEqualTo(500)
                get { body }.isEqualTo("reason")
                get { header("Signature") }.isEqualTo("s")
            }
        }
    }

    @Nested
    inner class `given refusals` {
        @Test
        fun `a refusal that states not run is reported as not run with a Retry-After`() {
            setup.replica { send("HTTP/1.1 503 Busy\r\nId: q1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n") }
            expectThat(setup.sendRequest("/act/x")).isNotNull().and {
                get { status }.isEqualTo(503)
                get { header("Retry-After") }.isNotNull()
            }
        }

        @Test
        fun `a refusal that does not state not run is never reported as not run`() {
            setup.replica { send("HTTP/1.1 503 Busy\r\nId: q1\r\nSignature: s\r\nContent-Length: 0\r\n\r\n") }
            expectThat(setup.sendRequest("/act/x")).isNotNull().and {
                get { status }.isEqualTo(502)
                get { header("Signature") }.isNull()
            }
        }

        @Test
        fun `a wrong replica at the address is left for the right one`() {
            setup.replica("r1") { send("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n") }
            setup.replica("r2") { send(signedResponse(it, "right")) }
            repeat(4) { expectThat(setup.sendRequest("/act/x", id = "q$it")?.body).isEqualTo("right") }
        }
    }
}
