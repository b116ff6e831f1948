package org.buckthornwheel.forwarding.host

import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

internal class PipelinedShutdownTest {
    private val host = RunningHost()
    private val release = CountDownLatch(1)
    private val replica = ScriptedReplica { request ->
        release.await()
        send(signedResponse(request, body = "answer"))
    }.also { host.add("r1", it) }

    @AfterEach
    fun close() {
        release.countDown()
        replica.close()
        host.close()
    }

    /** Guards against requests that were read behind another one, and dropped because the host was stopping. */
    @Test
    fun `pipelined requests are answered before a host that is stopping closes their connection`() {
        val caller = host.caller()
        repeat(REQUESTS) { caller.request("POST", "/act/x", "q$it", "question") }
        awaitUntil { replica.requests.isNotEmpty() }
        val stopping = thread { host.process.stop() }
        awaitUntil { !host.process.isReady }
        release.countDown()
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
