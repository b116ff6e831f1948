/*
 * Replicas that break off, fail or refuse, and where the request goes then.
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
    inner class `given connections that end` {
        @Test
        fun `one that is announced as closing is not used again`() {
            val replica = setup.replica { request ->
                send(signedResponse(request, "bye", "Connection: close\r\n"))
                close()
            }
            setup.sendRequest("/act/x", id = "q1")
            expectThat(setup.sendRequest("/act/x", id = "q2")?.body).isEqualTo("bye")
            expectThat(replica.connections.get()).isEqualTo(2)
        }

        @Test
        fun `one with an idle time is not used past it`() {
            val replica = setup.replica { request ->
                send(signedResponse(request, "brief", "Keep-Alive: timeout=1\r\n"))
            }
            setup.sendRequest("/act/x", id = "q1")
            Thread.sleep(700)
            expectThat(setup.sendRequest("/act/x", id = "q2")?.body).isEqualTo("brief")
            expectThat(replica.connections.get()).isEqualTo(2)
        }

        @Test
        fun `a request that may be repeated goes to another replica after a reset`() {
            val asked = ArrayList<ScriptedReplica>()
            asked += setup.replica("r1") { resetOrAnswer(asked, it) }
            asked += setup.replica("r2") { resetOrAnswer(asked, it) }
            expectThat(setup.sendRequest("/read/x", method = "GET", body = "")?.body).isEqualTo("second")
            expectThat(asked.sumOf { it.requests.size }).isEqualTo(2)
        }

        @Test
        fun `a request that may not be repeated is sent once and no promise is made`() {
            val first = setup.replica("r1") { reset() }
            val second = setup.replica("r2") { reset() }
            expectThat(setup.sendRequest("/act/x")?.status).isEqualTo(502)
            expectThat(first.requests.size + second.requests.size).isEqualTo(1)
        }

        private fun ReplicaConnection.resetOrAnswer(asked: List<ScriptedReplica>, request: RecordedRequest) {
            if (asked.sumOf { it.requests.size } == 1) reset() else send(signedResponse(request, "second"))
        }
    }

    @Nested
    inner class `given answers that tell of a failure` {
        private fun ReplicaConnection.fail(request: RecordedRequest, body: String) =
            send(signedResponse(request, body).replace("200 OK", "500 Failed"))

        @Test
        fun `another replica is asked for what may be repeated`() {
            val asked = ArrayList<ScriptedReplica>()
            fun ReplicaConnection.serve(request: RecordedRequest) = if (asked.sumOf { it.requests.size } ==
                1
            ) {
                fail(request, "first")
            } else {
                send(signedResponse(request, "second"))
            }
            asked += setup.replica("r1") { serve(it) }
            asked += setup.replica("r2") { serve(it) }
            expectThat(setup.sendRequest("/read/x", method = "GET", body = "")?.body).isEqualTo("second")
        }

        @Test
        fun `the replica's own answer is passed on if no other replica is there`() {
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
        fun `a refusal that says not run becomes a promise with a time to come back`() {
            setup.replica { send("HTTP/1.1 503 Busy\r\nId: q1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n") }
            expectThat(setup.sendRequest("/act/x")).isNotNull().and {
                get { status }.isEqualTo(503)
                get { header("Retry-After") }.isNotNull()
            }
        }

        @Test
        fun `a refusal that does not say so is never passed on as a promise`() {
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
