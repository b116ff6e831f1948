package org.buckthornwheel.forwarding.host

import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.concurrent.thread

internal class SlowReaderShutdownTest {
    private val host = RunningHost()
    private val replica =
        ScriptedReplica { send(signedResponse(it, body = "x".repeat(BODY_BYTES))) }.also { host.add("r1", it) }

    @AfterEach
    fun close() {
        replica.close()
        host.close()
    }

    /** Guards against responses that were cut because their connection counted as idle while they were written. */
    @Test
    fun `responses that a slow caller has not read yet are not cut by the shutdown`() {
        val caller = host.caller()
        repeat(REQUESTS) { caller.request("POST", "/act/x", "q$it", "question") }
        awaitUntil { replica.requests.size == REQUESTS }
        val stopping = thread { host.process.stop() }
        Thread.sleep(READING_PAUSE_MILLISECONDS)
        val bodies = List(REQUESTS) { caller.readResponse()?.body?.length }
        caller.close()
        stopping.join()
        expectThat(bodies).isEqualTo(List(REQUESTS) { BODY_BYTES })
    }

    private companion object {
        /** Together more than the buffers of both sockets hold. */
        const val REQUESTS = 30
        const val BODY_BYTES = 250_000

        /** After the time at which the stopping host closes idle connections, and before its grace period ends. */
        const val READING_PAUSE_MILLISECONDS = 1_500L
    }
}
