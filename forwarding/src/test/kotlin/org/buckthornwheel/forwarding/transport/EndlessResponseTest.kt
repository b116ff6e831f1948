/*
 * Bytes of a replica that are no response and do not end until the host closes the connection.
 *
 * A host that reads on until the deadline of the request wastes processor time and memory, and keeps a replica in use
 * that serves nobody.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.forwarding.fixture.HostWithReplicas
import org.buckthornwheel.forwarding.fixture.RawCaller
import org.buckthornwheel.forwarding.fixture.RecordedRequest
import org.buckthornwheel.forwarding.fixture.ReplicaConnection
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.buckthornwheel.forwarding.fixture.chunk
import org.buckthornwheel.forwarding.fixture.chunkedHead
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.io.IOException
import java.lang.management.ManagementFactory
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

internal class EndlessResponseTest {
    private val opened = ArrayList<HostWithReplicas>()

    @AfterEach
    fun close() = opened.forEach { it.close() }

    private fun setup() = HostWithReplicas().also { opened += it }

    /**
     * Sends [start] and then [unit] until the host closes the connection; counts the connections that ended, and the
     * bytes that were sent.
     */
    private fun ReplicaConnection.sendEndlessly(
        start: String,
        unit: String,
        ended: AtomicInteger,
        sent: AtomicLong = AtomicLong(),
    ) {
        try {
            send(start)
            while (true) {
                send(unit)
                sent.addAndGet(unit.length.toLong())
            }
        } catch (failure: IOException) {
            ended.incrementAndGet()
            throw failure
        }
    }

    /** An endless response to a request on [path]: [unit] follows [start] again and again. */
    private class Endless(
        val name: String,
        val unit: String,
        val path: String = "/act/x",
        val status: Int = 502,
        val start: (RecordedRequest) -> String,
    )

    private fun head(request: RecordedRequest, status: String, headers: String) =
        "HTTP/1.1 $status\r\nId: ${request.header("Id")}\r\n$headers\r\n"

    private val endless = listOf(
        Endless("a status line", "a".repeat(1_000)) { "HTTP/1.1 200 " },
        Endless("header lines", "Name: value\r\n".repeat(100)) { "HTTP/1.1 200 OK\r\n" },
        Endless("one header line", "a".repeat(1_000)) { "HTTP/1.1 200 OK\r\nName: " },
        Endless("informational responses", "HTTP/1.1 102 Processing\r\n\r\n") { "" },
        Endless("a chunk extension", "a".repeat(1_000)) { chunkedHead(it) + "5;" },
        Endless("digits of a chunk size", "0".repeat(1_000)) { chunkedHead(it) },
        Endless("trailers", "Name: value\r\n".repeat(100)) { chunkedHead(it) + chunk("part") + "0\r\n" },
        Endless("bytes after the body", "more".repeat(100), status = 200) { signedResponse(it, "answer") },
        Endless("a chunked body of an error", chunk("b".repeat(4_000))) {
            head(it, "500 Error", "Transfer-Encoding: chunked\r\n")
        },
        Endless("an error without length", "b".repeat(4_000)) { head(it, "500 Error", "") },
        Endless("an unsigned success", chunk("b".repeat(4_000))) {
            head(it, "200 OK", "Transfer-Encoding: chunked\r\n")
        },
        Endless("a late response to another request", chunk("b".repeat(4_000))) {
            "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n"
        },
        Endless("late responses to other requests", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n") {
            ""
        },
        Endless("an event without line end", chunk("data".repeat(1_000)), path = "/once/x") { chunkedHead(it) },
        Endless("an event without blank line", chunk("data: piece\n".repeat(100)), path = "/once/x") {
            chunkedHead(it)
        },
    )

    @TestFactory
    fun `the connection is closed well before the deadline, and the caller gets a true response`(): List<DynamicTest> =
        endless.map { case ->
            dynamicTest(case.name) {
                val setup = setup()
                val ended = AtomicInteger()
                setup.replica { sendEndlessly(case.start(it), case.unit, ended) }
                expectThat(setup.sendRequest(case.path)?.status).isEqualTo(case.status)
                awaitUntil(DETECTION_LIMIT) { ended.get() == 1 }
            }
        }

    @Test
    fun `a hundred endless events at once leave the host serving other callers, in bounded memory`() {
        val setup = setup()
        val ended = AtomicInteger()
        val sent = AtomicLong()
        val statuses = CopyOnWriteArrayList<Int?>()
        val allSent = CountDownLatch(ENDLESS_CALLERS)
        val replica = ScriptedReplica { request ->
            if (!request.line.startsWith("POST /long/")) return@ScriptedReplica send(signedResponse(request, "answer"))
            allSent.countDown()
            allSent.await(WAIT_LIMIT.inWholeSeconds, TimeUnit.SECONDS)
            sendEndlessly(chunkedHead(request), chunk("data".repeat(1_000)), ended, sent)
        }
        setup.host.add("r1", replica, slots = 2 * ENDLESS_CALLERS)
        val before = usedMemory()
        val callers = (1..ENDLESS_CALLERS).map { number ->
            thread(isDaemon = true) { statuses += setup.statusOfLongStream("endless-$number") }
        }
        expectThat(allSent.await(WAIT_LIMIT.inWholeSeconds, TimeUnit.SECONDS)).isTrue()
        val served = (1..OTHER_CALLERS).count { setup.sendRequest("/act/x", id = "other-$it")?.status == 200 }
        callers.forEach { it.join(WAIT_LIMIT.inWholeMilliseconds) }
        expectThat(served).isEqualTo(OTHER_CALLERS)
        // At the deadline of the request, the status would be 504.
        expectThat(statuses.toList()).isEqualTo(List(ENDLESS_CALLERS) { 502 })
        awaitUntil(WAIT_LIMIT) { ended.get() == ENDLESS_CALLERS }
        expectThat(sent.get()).isLessThan(ENDLESS_CALLERS * MAXIMUM_SENT_BYTES)
        expectThat(usedMemory() - before).isLessThan(MAXIMUM_GROWTH_BYTES)
        replica.close()
    }

    private fun HostWithReplicas.statusOfLongStream(id: String): Int? =
        RawCaller(host.self.callerAddress, WAIT_LIMIT).use { caller ->
            caller.request("POST", "/long/x", id, "question")
            caller.readResponse()?.status
        }

    private fun usedMemory(): Long {
        ManagementFactory.getMemoryMXBean().gc()
        return Runtime.getRuntime().run { totalMemory() - freeMemory() }
    }

    private companion object {
        /** The routes of the tests time out after 4 s; a connection that is still open then was not detected. */
        val DETECTION_LIMIT = 3.seconds

        /** Less than the timeout of the long route, so that nothing ends by its deadline. */
        val WAIT_LIMIT = 30.seconds
        const val ENDLESS_CALLERS = 100
        const val OTHER_CALLERS = 20

        /** The longest event, and what the buffers of the system hold of a connection. */
        const val MAXIMUM_SENT_BYTES = 16L * 1024 * 1024

        /** A fifth of the heap of a host. */
        const val MAXIMUM_GROWTH_BYTES = 32L * 1024 * 1024
    }
}
