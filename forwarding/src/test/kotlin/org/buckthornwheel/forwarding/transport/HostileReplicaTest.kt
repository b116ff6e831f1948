/*
 * What a replica may do to an answer, and what the caller sees of it.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.forwarding.fixture.HostileReplica
import org.buckthornwheel.forwarding.fixture.RawAnswer
import org.buckthornwheel.forwarding.fixture.ReplicaSide
import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.SeenRequest
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

internal class HostileReplicaTest {
    private val host = RunningHost()
    private val replicas = ArrayList<HostileReplica>()

    @AfterEach
    fun close() {
        replicas.forEach { it.close() }
        host.close()
    }

    private fun replica(id: String = "r1", answer: ReplicaSide.(SeenRequest) -> Unit): HostileReplica {
        val replica = HostileReplica(answer = answer)
        replicas += replica
        host.add(id, replica)
        return replica
    }

    private fun ask(path: String, method: String = "POST", body: String = "question", id: String = "q1"): RawAnswer? =
        host.caller().use { caller ->
            caller.request(method, path, id, body)
            caller.answer()
        }

    @Nested
    inner class `given a plain answer` {
        @Test
        fun `it is passed on unchanged with its signature`() {
            val replica = replica { send(whole(it, "answer")) }
            val answer = ask("/act/x?y=%20z")
            expectThat(answer).isNotNull().and {
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
        fun `the connection to the replica is used again`() {
            val replica = replica { send(whole(it, "answer")) }
            repeat(5) { ask("/act/x", id = "q$it") }
            expectThat(replica.connections.get()).isEqualTo(1)
        }

        @Test
        fun `an interim answer before it is left out`() {
            replica { send("HTTP/1.1 102 Processing\r\n\r\n" + whole(it, "answer")) }
            expectThat(ask("/act/x")?.body).isEqualTo("answer")
        }

        @Test
        fun `one that comes before the body was read is passed on and the connection stays usable`() {
            val early = HostileReplica(readsBody = false) { request ->
                send(whole(request, "early"))
                // The rest of the body comes on the same connection and must be read as such.
            }
            replicas += early
            host.add("r1", early)
            expectThat(ask("/act/x", body = "b".repeat(9_000))?.body).isEqualTo("early")
        }
    }

    @Nested
    inner class `given an answer that ends early` {
        @Test
        fun `a truncated length never looks whole`() {
            replica { request ->
                send(
                    "HTTP/1.1 200 OK\r\nId: ${request.header("Id")}\r\nSignature: s\r\nContent-Length: 100\r\n\r\nhalf",
                )
                close()
            }
            expectThat(ask("/act/x")?.status).isEqualTo(502)
        }

        @Test
        fun `a truncated chunk never looks whole`() {
            replica { request ->
                send(chunkedHead(request) + "10\r\nhalf")
                close()
            }
            expectThat(ask("/act/x")?.status).isEqualTo(502)
        }

        @Test
        fun `one that ends with its connection is whole if the connection closes`() {
            replica { request ->
                send("HTTP/1.1 200 OK\r\nId: ${request.header("Id")}\r\nSignature: s\r\n\r\nall of it")
                close()
            }
            expectThat(ask("/act/x")?.body).isEqualTo("all of it")
        }

        @Test
        fun `one that ends with its connection is not whole if the connection is reset`() {
            replica { request ->
                send("HTTP/1.1 200 OK\r\nId: ${request.header("Id")}\r\nSignature: s\r\n\r\npart")
                Thread.sleep(50)
                reset()
            }
            expectThat(ask("/act/x")?.status).isEqualTo(502)
        }

        @Test
        fun `a stream that may not be continued is cut off`() {
            replica { request ->
                send(chunkedHead(request) + chunk(event(1)))
                Thread.sleep(50)
                reset()
            }
            expectThat(ask("/once/x")).isNotNull().and {
                get { body }.contains("id: 1\n")
                get { isWhole }.isFalse()
            }
        }
    }

    @Nested
    inner class `given bytes that belong to no request` {
        @Test
        fun `a second answer after the first reaches nobody`() {
            val replica = replica { request -> send(whole(request, "mine") + whole(request, "extra")) }
            val first = ask("/act/x", id = "q1")
            val second = ask("/act/x", id = "q2")
            expectThat(first?.body).isEqualTo("mine")
            expectThat(second?.body).isEqualTo("mine")
            expectThat(replica.connections.get()).isEqualTo(2)
        }

        @Test
        fun `a late answer of another request is dropped and the right one is passed on`() {
            replica { request ->
                send("HTTP/1.1 200 OK\r\nId: other\r\nSignature: s\r\nContent-Length: 5\r\n\r\nother")
                send(whole(request, "mine"))
            }
            expectThat(ask("/act/x")?.body).isEqualTo("mine")
        }

        @Test
        fun `bytes that are no answer become a failure that promises nothing`() {
            replica {
                send("garbage that is no answer\r\n\r\n")
                close()
            }
            expectThat(ask("/act/x")?.status).isEqualTo(502)
        }

        @Test
        fun `a success without a signature does not count`() {
            replica { send("HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 2\r\n\r\nno") }
            expectThat(ask("/act/x")?.status).isEqualTo(502)
        }
    }

    @Nested
    inner class `given connections that end` {
        @Test
        fun `one that is announced as closing is not used again`() {
            val replica = replica { request ->
                send(whole(request, "bye", "Connection: close\r\n"))
                close()
            }
            ask("/act/x", id = "q1")
            expectThat(ask("/act/x", id = "q2")?.body).isEqualTo("bye")
            expectThat(replica.connections.get()).isEqualTo(2)
        }

        @Test
        fun `one with an idle time is not used past it`() {
            val replica = replica { request -> send(whole(request, "brief", "Keep-Alive: timeout=1\r\n")) }
            ask("/act/x", id = "q1")
            Thread.sleep(700)
            expectThat(ask("/act/x", id = "q2")?.body).isEqualTo("brief")
            expectThat(replica.connections.get()).isEqualTo(2)
        }

        @Test
        fun `a request that may be repeated goes to another replica after a reset`() {
            val asked = ArrayList<HostileReplica>()
            asked += replica("r1") { resetOrAnswer(asked, it) }
            asked += replica("r2") { resetOrAnswer(asked, it) }
            expectThat(ask("/read/x", method = "GET", body = "")?.body).isEqualTo("second")
            expectThat(asked.sumOf { it.requests.size }).isEqualTo(2)
        }

        @Test
        fun `a request that may not be repeated is sent once and no promise is made`() {
            val first = replica("r1") { reset() }
            val second = replica("r2") { reset() }
            expectThat(ask("/act/x")?.status).isEqualTo(502)
            expectThat(first.requests.size + second.requests.size).isEqualTo(1)
        }

        private fun ReplicaSide.resetOrAnswer(asked: List<HostileReplica>, request: SeenRequest) {
            if (asked.sumOf { it.requests.size } == 1) reset() else send(whole(request, "second"))
        }
    }

    @Nested
    inner class `given answers that tell of a failure` {
        private fun ReplicaSide.fail(request: SeenRequest, body: String) =
            send(whole(request, body).replace("200 OK", "500 Failed"))

        @Test
        fun `another replica is asked for what may be repeated`() {
            val asked = ArrayList<HostileReplica>()
            fun ReplicaSide.serve(request: SeenRequest) =
                if (asked.sumOf { it.requests.size } == 1) fail(request, "first") else send(whole(request, "second"))
            asked += replica("r1") { serve(it) }
            asked += replica("r2") { serve(it) }
            expectThat(ask("/read/x", method = "GET", body = "")?.body).isEqualTo("second")
        }

        @Test
        fun `the replica's own answer is passed on if no other replica is there`() {
            replica { fail(it, "reason") }
            expectThat(ask("/read/x", method = "GET", body = "")).isNotNull().and {
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
            replica { send("HTTP/1.1 503 Busy\r\nId: q1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n") }
            expectThat(ask("/act/x")).isNotNull().and {
                get { status }.isEqualTo(503)
                get { header("Retry-After") }.isNotNull()
            }
        }

        @Test
        fun `a refusal that does not say so is never passed on as a promise`() {
            replica { send("HTTP/1.1 503 Busy\r\nId: q1\r\nSignature: s\r\nContent-Length: 0\r\n\r\n") }
            expectThat(ask("/act/x")).isNotNull().and {
                get { status }.isEqualTo(502)
                get { header("Signature") }.isNull()
            }
        }

        @Test
        fun `a wrong replica at the address is left for the right one`() {
            replica("r1") { send("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n") }
            replica("r2") { send(whole(it, "right")) }
            repeat(4) { expectThat(ask("/act/x", id = "q$it")?.body).isEqualTo("right") }
        }
    }

    @Nested
    inner class `given a stream` {
        @Test
        fun `a broken one is continued by another replica without a gap or a double`() {
            val asked = ArrayList<HostileReplica>()
            fun ReplicaSide.serve(request: SeenRequest) {
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
            asked += replica("r1") { serve(it) }
            asked += replica("r2") { serve(it) }
            val answer = ask("/stream/x")
            expectThat(answer).isNotNull().and {
                get { body }.isEqualTo((1..5).joinToString("") { event(it) })
                get { isWhole }.isTrue()
            }
        }

        @Test
        fun `one whose continuation fails with an error is cut off at once`() {
            fun ReplicaSide.serve(request: SeenRequest) {
                if (request.header("Last-Event-Id") == null) {
                    send(chunkedHead(request) + chunk(event(1)))
                    Thread.sleep(50)
                    return reset()
                }
                send("HTTP/1.1 500 Oops\r\nId: ${request.header("Id")}\r\nSignature: s\r\nContent-Length: 0\r\n\r\n")
            }
            replica("r1") { serve(it) }
            replica("r2") { serve(it) }
            host.caller().use { caller ->
                caller.request("POST", "/stream/x", "q1", "question")
                val begun = TimeSource.Monotonic.markNow()
                expectThat(caller.answer()).isNotNull().and {
                    get { body }.contains("id: 1\n")
                    get { isWhole }.isFalse()
                }
                // An idle connection would be closed after two seconds.
                expectThat(begun.elapsedNow()).isLessThan(1_900.milliseconds)
            }
        }

        @Test
        fun `events are passed on as they come`() {
            replica { request ->
                send(chunkedHead(request) + chunk(event(1)))
                awaitClose(3_000)
            }
            host.caller().use { caller ->
                caller.request("POST", "/once/x", "q1")
                caller.readHead()
                expectThat(caller.readBytes(4 + event(1).length)).contains("id: 1")
            }
        }
    }

    @Nested
    inner class `given a caller that leaves` {
        @Test
        fun `the replica's work is cancelled within half a second`() {
            var isCancelled = false
            val replica = replica { isCancelled = awaitClose(500) }
            host.caller().use { caller ->
                caller.request("POST", "/act/x", "q1", "question")
                awaitUntil { replica.requests.size == 1 }
            }
            awaitUntil { isCancelled }
        }

        @Test
        fun `a stream is cancelled between events`() {
            var isCancelled = false
            replica { request ->
                send(chunkedHead(request) + chunk(event(1)))
                isCancelled = awaitClose(1_000)
            }
            host.caller().use { caller ->
                caller.request("POST", "/once/x", "q1")
                caller.readHead()
                caller.readBytes(4 + event(1).length)
            }
            awaitUntil { isCancelled }
        }
    }

    @Test
    fun `a request that is still unanswered at its route's time limit gets a final answer`() {
        replica { awaitClose(3_000) }
        expectThat(ask("/brief/x", method = "GET", body = "")?.status).isEqualTo(504)
    }

    private companion object {
        fun whole(request: SeenRequest, body: String, headers: String = ""): String =
            "HTTP/1.1 200 OK\r\nId: ${request.header("Id")}\r\nSignature: s\r\n$headers" +
                "Content-Length: ${body.length}\r\n\r\n$body"

        fun chunkedHead(request: SeenRequest): String =
            "HTTP/1.1 200 OK\r\nId: ${request.header("Id")}\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"

        fun chunkedStreamHead(request: SeenRequest): String = chunkedHead(request)

        fun event(number: Int): String = "id: $number\ndata: piece\n\n"

        fun chunk(text: String): String = "${text.length.toString(16)}\r\n$text\r\n"
    }
}
