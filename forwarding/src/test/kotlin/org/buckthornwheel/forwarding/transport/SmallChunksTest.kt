/*
 * Streams and bodies in very small chunks. Each chunk costs far more processor time than its bytes, and the host has
 * one event loop for all requests.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.forwarding.fixture.HostWithReplicas
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
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.Closeable
import java.io.IOException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

internal class SmallChunksTest {
    private val opened = ArrayList<Closeable>()

    @AfterEach
    fun close() = opened.forEach { it.close() }

    private fun replica(respond: ReplicaConnection.(RecordedRequest) -> Unit) =
        ScriptedReplica(respond = respond).also { opened += it }

    /** Answers streams with [unit] as chunks without end, and other requests as usual. */
    private class EndlessStreams(unit: String) {
        private val block = chunk(unit).repeat(CHUNKS_PER_WRITE)
        val begun = CountDownLatch(STREAMS)
        val ended = AtomicInteger()

        fun respond(connection: ReplicaConnection, request: RecordedRequest) {
            if (!request.line.startsWith("POST /once/")) return connection.send(signedResponse(request, "answer"))
            try {
                connection.send(chunkedHead(request))
                begun.countDown()
                while (true) connection.send(block)
            } catch (failure: IOException) {
                ended.incrementAndGet()
                throw failure
            }
        }
    }

    private fun openStreams(setup: HostWithReplicas) = repeat(STREAMS) { number ->
        thread(isDaemon = true) {
            setup.host.caller().use { caller ->
                caller.request("POST", "/once/x", "stream-$number", "question")
                caller.drain()
            }
        }
    }

    /** Guards against one stream of a replica that stops a host for all its callers. */
    @TestFactory
    fun `endless streams in small chunks leave the host serving other callers`(): List<DynamicTest> = listOf(
        "an event without end" to "x",
        "line ends" to "\n",
        "comments" to ":\n\n",
        "events" to "data: x\n\n",
    ).map { (name, unit) ->
        dynamicTest(name) {
            val setup = HostWithReplicas().also { opened += it }
            val streams = EndlessStreams(unit)
            setup.host.add("r1", replica { streams.respond(this, it) }, slots = 2 * STREAMS)
            openStreams(setup)
            streams.begun.await(STREAM_TIMEOUT.inWholeSeconds, TimeUnit.SECONDS)
            val statuses = (1..OTHER_REQUESTS).map { setup.sendRequest("/act/x", id = "other-$it")?.status }
            expectThat(statuses).isEqualTo(List(OTHER_REQUESTS) { 200 })
            awaitUntil(STREAM_TIMEOUT * 2) { streams.ended.get() == STREAMS }
        }
    }

    private companion object {
        const val STREAMS = 10
        const val OTHER_REQUESTS = 20
        const val CHUNKS_PER_WRITE = 2_000

        /** The timeout of the routes of the tests. */
        val STREAM_TIMEOUT = 4.seconds
    }
}
