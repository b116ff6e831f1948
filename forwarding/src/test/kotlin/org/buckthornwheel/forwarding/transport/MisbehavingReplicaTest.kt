/*
 * Handling of unusual, truncated, unrelated and invalid responses of replicas.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.forwarding.fixture.HostWithReplicas
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.chunk
import org.buckthornwheel.forwarding.fixture.chunkedHead
import org.buckthornwheel.forwarding.fixture.event
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull

internal class MisbehavingReplicaTest {
    private val setup = HostWithReplicas()

    @AfterEach
    fun close() = setup.close()

    @Nested
    inner class `given a non-streaming response` {
        @Test
        fun `it is relayed unchanged with its signature`() {
            val replica = setup.replica { send(signedResponse(it, "answer")) }
            val response = setup.sendRequest("/act/x?y=%20z")
            expectThat(response).isNotNull().and {
                get { status }.isEqualTo(200)
                get { body }.isEqualTo("answer")
                get { header("Signature") }.isEqualTo("s")
            }
            expectThat(replica.requests.single()) {
                get { line }.isEqualTo("POST /act/x?y=%20z HTTP/1.1")
                get { body }.isEqualTo("question")
                get { header("Only") }.isEqualTo("r1")
            }
        }

        @Test
        fun `the connection to the replica is reused`() {
            val replica = setup.replica { send(signedResponse(it, "answer")) }
            repeat(5) { setup.sendRequest("/act/x", id = "q$it") }
            expectThat(replica.connections.get()).isEqualTo(1)
        }

        @Test
        fun `an informational response before it is discarded`() {
            setup.replica { send("HTTP/1.1 102 Processing\r\n\r\n" + signedResponse(it, "answer")) }
            expectThat(setup.sendRequest("/act/x")?.body).isEqualTo("answer")
        }

        @Test
        fun `a response before the body was read is relayed and the connection stays usable`() {
            val early = ScriptedReplica(readsBody = false) { request ->
                send(signedResponse(request, "early"))
                // The rest of the body arrives on the same connection and must be read as body.
            }
            setup.add("r1", early)
            expectThat(setup.sendRequest("/act/x", body = "b".repeat(9_000))?.body).isEqualTo("early")
        }
    }

    @Nested
    inner class `given a response that ends early` {
        @Test
        fun `a body shorter than its length is never relayed as complete`() {
            setup.replica { request ->
                send(
                    "HTTP/1.1 200 OK\r\nId: ${request.header("Id")}\r\nSignature: s\r\nContent-Length: 100\r\n\r\nhalf",
                )
                close()
            }
            expectThat(setup.sendRequest("/act/x")?.status).isEqualTo(502)
        }

        @Test
        fun `a truncated chunk is never relayed as complete`() {
            setup.replica { request ->
                send(chunkedHead(request) + "10\r\nhalf")
                close()
            }
            expectThat(setup.sendRequest("/act/x")?.status).isEqualTo(502)
        }

        @Test
        fun `a response without length is complete when the connection is closed`() {
            setup.replica { request ->
                send("HTTP/1.1 200 OK\r\nId: ${request.header("Id")}\r\nSignature: s\r\n\r\nall of it")
                close()
            }
            expectThat(setup.sendRequest("/act/x")?.body).isEqualTo("all of it")
        }

        @Test
        fun `a response without length is incomplete when the connection is reset`() {
            setup.replica { request ->
                send("HTTP/1.1 200 OK\r\nId: ${request.header("Id")}\r\nSignature: s\r\n\r\npart")
                Thread.sleep(50)
                reset()
            }
            expectThat(setup.sendRequest("/act/x")?.status).isEqualTo(502)
        }

        @Test
        fun `a stream that must not be continued is truncated`() {
            setup.replica { request ->
                send(chunkedHead(request) + chunk(event(1)))
                Thread.sleep(50)
                reset()
            }
            expectThat(setup.sendRequest("/once/x")).isNotNull().and {
                get { body }.contains("id: 1\n")
                get { isComplete }.isFalse()
            }
        }
    }

    @Nested
    inner class `given bytes that belong to no request` {
        @Test
        fun `a second response after the first is discarded`() {
            val replica = setup.replica { request ->
                send(signedResponse(request, "mine") + signedResponse(request, "extra"))
            }
            val first = setup.sendRequest("/act/x", id = "q1")
            val second = setup.sendRequest("/act/x", id = "q2")
            expectThat(first?.body).isEqualTo("mine")
            expectThat(second?.body).isEqualTo("mine")
            expectThat(replica.connections.get()).isEqualTo(2)
        }

        @Test
        fun `a late response to another request is discarded and the right one is relayed`() {
            setup.replica { request ->
                send("HTTP/1.1 200 OK\r\nId: other\r\nSignature: s\r\nContent-Length: 5\r\n\r\nother")
                send(signedResponse(request, "mine"))
            }
            expectThat(setup.sendRequest("/act/x")?.body).isEqualTo("mine")
        }

        @Test
        fun `bytes that are not a response lead to a 502 that does not state not run`() {
            setup.replica {
                send("garbage that is no answer\r\n\r\n")
                close()
            }
            expectThat(setup.sendRequest("/act/x")?.status).isEqualTo(502)
        }

        @Test
        fun `a successful response without signature is an error`() {
            setup.replica { send("HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 2\r\n\r\nno") }
            expectThat(setup.sendRequest("/act/x")?.status).isEqualTo(502)
        }
    }
}
