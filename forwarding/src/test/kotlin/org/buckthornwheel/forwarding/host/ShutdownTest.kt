package org.buckthornwheel.forwarding.host

import org.buckthornwheel.forwarding.fixture.RawResponse
import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

internal class ShutdownTest {
    private val host = RunningHost()
    private val release = CountDownLatch(1)
    private val replica = ScriptedReplica { request ->
        if (request.line.contains("/held")) release.await()
        send(signedResponse(request, body = ""))
    }.also { host.add("r1", it) }
    private val held = host.caller()
    private lateinit var stopping: Thread

    @AfterEach
    fun close() {
        release.countDown()
        held.close()
        stopping.join()
        replica.close()
        host.close()
    }

    /** A request in progress keeps the host from stopping before the end of its grace period. */
    @BeforeEach
    fun stopWithARequestInProgress() {
        held.request("POST", "/patient/held", "held")
        awaitUntil { replica.requests.isNotEmpty() }
        stopping = thread { host.process.stop() }
        awaitUntil { !host.process.isReady }
    }

    @Nested
    inner class `given a host that is stopping` {
        @Test
        fun `a long request is served while directory responses may still name the host`() {
            expectThat(sendRequest("/patient/x")?.status).isEqualTo(200)
        }

        @Test
        fun `a request that may outlast the host is rejected unsent once directory responses have expired`() {
            Thread.sleep(DIRECTORY_EXPIRY_MILLISECONDS)
            expectThat(sendRequest("/patient/x")).isNotNull().and {
                get { status }.isEqualTo(503)
                get { header("Retry-After") }.isEqualTo("0.020")
                get { header("Connection") }.isEqualTo("close")
            }
            expectThat(replica.requests.size).isEqualTo(1)
        }

        @Test
        fun `a request with a deadline before the end of the host is still served`() {
            Thread.sleep(DIRECTORY_EXPIRY_MILLISECONDS)
            expectThat(sendRequest("/brief/x")?.status).isEqualTo(200)
        }
    }

    private fun sendRequest(path: String): RawResponse? = host.caller().use { caller ->
        caller.request("POST", path, "q1")
        caller.readResponse()
    }

    private companion object {
        /** Longer than the fixture's directory time to live of 300 ms plus the slack for requests in transit. */
        const val DIRECTORY_EXPIRY_MILLISECONDS = 900L
    }
}
