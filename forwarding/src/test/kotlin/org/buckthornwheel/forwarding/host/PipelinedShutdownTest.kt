package org.buckthornwheel.forwarding.host

import org.buckthornwheel.forwarding.fixture.HostWithHeldReplica
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.concurrent.thread

internal class PipelinedShutdownTest {
    private val running = HostWithHeldReplica()
    private val host = running.host

    @AfterEach
    fun close(): Unit = running.close()

    /** Guards against requests that were read behind another one, and dropped because the host was stopping. */
    @Test
    fun `pipelined requests are answered before a host that is stopping closes their connection`() {
        val caller = host.caller()
        repeat(REQUESTS) { caller.request("POST", "/act/held", "q$it", "question") }
        awaitUntil { running.replica.requests.isNotEmpty() }
        val stopping = thread { host.process.stop() }
        awaitUntil { !host.process.isReady }
        running.release()
        val responses = List(REQUESTS) { caller.readResponse() }
        caller.close()
        stopping.join()
        expectThat(responses.map { it?.status }).isEqualTo(List(REQUESTS) { 200 })
        expectThat(responses.map { it?.header("Connection") }).isEqualTo(List(REQUESTS - 1) { null } + "close")
    }

    private companion object {
        const val REQUESTS = 3
    }
}
