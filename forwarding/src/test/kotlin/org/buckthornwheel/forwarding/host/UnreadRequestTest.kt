package org.buckthornwheel.forwarding.host

import org.buckthornwheel.forwarding.fixture.HostWithHeldReplica
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

internal class UnreadRequestTest {
    private val running = HostWithHeldReplica()
    private val host = running.host

    @AfterEach
    fun close(): Unit = running.close()

    /** Guards against a connection that was closed as idle while a request on it was not read yet. */
    @Test
    fun `a request that a busy event loop has not read yet is answered by a host that is stopping`() {
        val caller = host.caller()
        caller.request("POST", "/act/x", "q1", "question")
        expectThat(caller.readResponse()?.status).isEqualTo(200)
        val stopping = thread { host.process.stop() }
        awaitUntil { !host.process.isReady }
        val isBusy = CountDownLatch(1)
        val release = CountDownLatch(1)
        host.process.loops.single().execute {
            isBusy.countDown()
            release.await()
        }
        isBusy.await()
        caller.request("POST", "/act/x", "q2", "question")
        Thread.sleep(BUSY_MILLISECONDS)
        release.countDown()
        expectThat(caller.readResponse()?.status).isEqualTo(200)
        caller.close()
        stopping.join()
    }

    private companion object {
        /** Longer than 800 ms, after which the stopping host of the fixture closes idle connections. */
        const val BUSY_MILLISECONDS = 1_200L
    }
}
