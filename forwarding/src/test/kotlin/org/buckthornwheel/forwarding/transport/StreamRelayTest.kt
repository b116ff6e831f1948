/*
 * Streamed responses, callers that disconnect, and requests that exceed their time limit.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.forwarding.fixture.HostWithReplicas
import org.buckthornwheel.forwarding.fixture.RecordedRequest
import org.buckthornwheel.forwarding.fixture.ReplicaConnection
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.buckthornwheel.forwarding.fixture.chunk
import org.buckthornwheel.forwarding.fixture.chunkedHead
import org.buckthornwheel.forwarding.fixture.event
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

internal class StreamRelayTest {
    private val setup = HostWithReplicas()

    @AfterEach
    fun close() = setup.close()

    @Nested
    inner class `given a stream` {
        @Test
        fun `a stream that breaks off is continued by another replica without gap or duplicate`() {
            val replicas = ArrayList<ScriptedReplica>()
            fun ReplicaConnection.serve(request: RecordedRequest) {
                val after = request.header("Last-Event-Id")?.toInt() ?: 0
                send(chunkedHead(request))
                for (number in after + 1..5) {
                    send(chunk(event(number)))
                    if (after == 0 && number == 3) {
                        send("20\r\nid: 4\ndata: to")
                        Thread.sleep(50)
                        return reset()
                    }
                }
                send("0\r\n\r\n")
            }
            replicas += setup.replica("r1") { serve(it) }
            replicas += setup.replica("r2") { serve(it) }
            val response = setup.sendRequest("/stream/x")
            expectThat(response).isNotNull().and {
                get { body }.isEqualTo((1..5).joinToString("") { event(it) })
                get { isComplete }.isTrue()
            }
        }

        @Test
        fun `a stream whose continuation fails is truncated immediately`() {
            fun ReplicaConnection.serve(request: RecordedRequest) {
                if (request.header("Last-Event-Id") == null) {
                    send(chunkedHead(request) + chunk(event(1)))
                    Thread.sleep(50)
                    return reset()
                }
                send("HTTP/1.1 500 Oops\r\nId: ${request.header("Id")}\r\nSignature: s\r\nContent-Length: 0\r\n\r\n")
            }
            setup.replica("r1") { serve(it) }
            setup.replica("r2") { serve(it) }
            setup.host.caller().use { caller ->
                caller.request("POST", "/stream/x", "q1", "question")
                val begun = TimeSource.Monotonic.markNow()
                expectThat(caller.readResponse()).isNotNull().and {
                    get { body }.contains("id: 1\n")
                    get { isComplete }.isFalse()
                }
                // An idle connection would be closed after two seconds.
                expectThat(begun.elapsedNow()).isLessThan(1_900.milliseconds)
            }
        }

        @Test
        fun `events are relayed as they arrive`() {
            setup.replica { request ->
                send(chunkedHead(request) + chunk(event(1)))
                awaitClose(3_000)
            }
            setup.host.caller().use { caller ->
                caller.request("POST", "/once/x", "q1")
                caller.readHead()
                expectThat(caller.readBytes(4 + event(1).length)).contains("id: 1")
            }
        }
    }

    @Nested
    inner class `given a stream with neither a length nor chunks` {
        private fun unframedHead(request: RecordedRequest): String =
            "HTTP/1.1 200 OK\r\nId: ${request.header("Id")}\r\nSignature: s\r\n\r\n"

        @Test
        fun `it is complete when the connection is closed after an event`() {
            setup.replica { request ->
                send(unframedHead(request) + event(1) + event(2))
                close()
            }
            expectThat(setup.sendRequest("/once/x")).isNotNull().and {
                get { body }.isEqualTo(event(1) + event(2))
                get { isComplete }.isTrue()
            }
        }

        /** Guards against a stream that broke off inside an event and was relayed as complete. */
        @Test
        fun `it is truncated when the connection is closed inside an event`() {
            setup.replica { request ->
                send(unframedHead(request) + event(1) + "id: 2\ndata: hal")
                close()
            }
            expectThat(setup.sendRequest("/once/x")).isNotNull().and {
                get { body }.isEqualTo(event(1))
                get { isComplete }.isFalse()
            }
        }

        @Test
        fun `another replica continues it after the last complete event`() {
            fun ReplicaConnection.serve(request: RecordedRequest) {
                val after = request.header("Last-Event-Id")?.toInt() ?: 0
                if (after == 0) send(unframedHead(request) + event(1) + "id: 2\ndata: hal")
                if (after == 1) send(unframedHead(request) + event(2))
                close()
            }
            setup.replica("r1") { serve(it) }
            setup.replica("r2") { serve(it) }
            expectThat(setup.sendRequest("/stream/x")).isNotNull().and {
                get { body }.isEqualTo(event(1) + event(2))
                get { isComplete }.isTrue()
            }
        }
    }

    @Test
    fun `a chunked stream whose last event is incomplete is truncated`() {
        setup.replica { request ->
            send(chunkedHead(request) + chunk(event(1)) + chunk("id: 2\ndata: hal") + "0\r\n\r\n")
        }
        expectThat(setup.sendRequest("/once/x")).isNotNull().and {
            get { body }.isEqualTo(event(1))
            get { isComplete }.isFalse()
        }
    }

    /** Guards against a truncated stream that a caller without chunked encoding takes for complete. */
    @Test
    fun `the connection of an HTTP 1_0 caller is reset when its stream breaks off`() {
        setup.replica { request ->
            send(chunkedHead(request) + chunk(event(1)))
            Thread.sleep(50)
            reset()
        }
        setup.host.caller().use { caller ->
            caller.send("POST /once/x HTTP/1.0\r\nHost: gateway.example\r\nId: q1\r\nContent-Length: 0\r\n\r\n")
            caller.readHead()
            expectThat(caller.isReset()).isTrue()
        }
    }

    @Nested
    inner class `given a caller that disconnects` {
        @Test
        fun `the replica's work is cancelled within half a second`() {
            var isCancelled = false
            val replica = setup.replica { isCancelled = awaitClose(500) }
            setup.host.caller().use { caller ->
                caller.request("POST", "/act/x", "q1", "question")
                awaitUntil { replica.requests.size == 1 }
            }
            awaitUntil { isCancelled }
        }

        @Test
        fun `a stream is cancelled between events`() {
            var isCancelled = false
            setup.replica { request ->
                send(chunkedHead(request) + chunk(event(1)))
                isCancelled = awaitClose(1_000)
            }
            setup.host.caller().use { caller ->
                caller.request("POST", "/once/x", "q1")
                caller.readHead()
                caller.readBytes(4 + event(1).length)
            }
            awaitUntil { isCancelled }
        }
    }

    @Test
    fun `a request without a response at the time limit of its route gets 504`() {
        setup.replica { awaitClose(3_000) }
        expectThat(setup.sendRequest("/brief/x", method = "GET", body = "")?.status).isEqualTo(504)
    }
}
