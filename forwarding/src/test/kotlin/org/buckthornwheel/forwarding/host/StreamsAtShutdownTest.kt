/*
 * Planned stops that meet streams.
 */

package org.buckthornwheel.forwarding.host

import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.buckthornwheel.forwarding.fixture.chunk
import org.buckthornwheel.forwarding.fixture.chunkedHead
import org.buckthornwheel.forwarding.fixture.event
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

internal class StreamsAtShutdownTest {
    private val host = RunningHost()
    private val begin = CountDownLatch(1)
    private val release = CountDownLatch(1)
    private val replica = ScriptedReplica { request ->
        if (request.line.contains("/act")) {
            send(signedResponse(request, body = "answer"))
        } else {
            begin.await()
            send(chunkedHead(request) + chunk(event(1)))
            release.await()
            send(chunk(event(2)) + "0\r\n\r\n")
        }
    }.also { host.add("r1", it) }

    @AfterEach
    fun close() {
        begin.countDown()
        release.countDown()
        replica.close()
        host.close()
    }

    /** Guards against requests that were read behind a stream, and held without an answer until its end. */
    @Test
    fun `a request that is read during the last stream of its connection does not wait for the end of the stream`() {
        val caller = host.caller()
        caller.request("GET", "/stream/x", "q1")
        awaitUntil { replica.requests.isNotEmpty() }
        val stopping = thread { host.process.stop() }
        awaitUntil { !host.process.isReady }
        begin.countDown()
        Thread.sleep(CROSSING_MILLISECONDS)
        caller.request("POST", "/act/x", "q2", "question")
        Thread.sleep(STREAM_MILLISECONDS)
        release.countDown()
        expectThat(caller.readResponse()).isNotNull().get { isComplete }.isEqualTo(true)
        expectThat(caller.readResponse()).isNotNull().get { status }.isEqualTo(200)
        caller.close()
        stopping.join()
    }

    /** Guards against streams that are admitted late and broken off with the end of the host. */
    @Test
    fun `a stream of unknown length that is sent after the directory responses have expired is rejected as not run`() {
        val held = host.caller()
        held.request("POST", "/once/x", "q1")
        awaitUntil { replica.requests.isNotEmpty() }
        val stopping = thread { host.process.stop() }
        Thread.sleep(AFTER_EXPIRY_MILLISECONDS)
        begin.countDown()
        val caller = host.caller()
        caller.request("POST", "/once/x", "q2")
        val response = caller.readResponse()
        stopping.join()
        held.close()
        expectThat(response).isNotNull().and {
            get { status to isComplete }.isEqualTo(503 to true)
            get { header("Retry-After") }.isNotNull()
        }
        expectThat(replica.requests.map { it.header("Id") }).containsExactly("q1")
    }

    private companion object {
        /** The directory's responses expire after 0.8 s; the grace period ends after 3 s. */
        const val AFTER_EXPIRY_MILLISECONDS = 1_000L
        const val CROSSING_MILLISECONDS = 50L
        const val STREAM_MILLISECONDS = 500L
    }
}
