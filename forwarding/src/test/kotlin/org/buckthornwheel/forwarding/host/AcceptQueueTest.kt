package org.buckthornwheel.forwarding.host

import org.buckthornwheel.forwarding.fixture.HostWithHeldReplica
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.concurrent.thread

internal class AcceptQueueTest {
    private val running = HostWithHeldReplica()
    private val host = running.host

    @AfterEach
    fun close(): Unit = running.close()

    /** Guards against established connections that were reset as the listener was closed. */
    @Test
    fun `requests on connections that were not accepted yet are answered when the listener is closed`() {
        val held = running.callerWithRequestInProgress()
        val stopping = thread { host.process.stop() }
        Thread.sleep(BUSY_AFTER_MILLISECONDS)
        host.process.loops.forEach { loop -> loop.execute { Thread.sleep(BUSY_MILLISECONDS) } }
        val callers = List(CALLERS) { host.caller() }
        callers.forEachIndexed { number, caller -> caller.request("POST", "/act/x", "q$number", "question") }
        val responses = callers.map { it.readResponse()?.status }
        expectThat(responses).isEqualTo(List(CALLERS) { 503 })
        callers.forEach { it.close() }
        stopping.join()
        held.close()
    }

    private companion object {
        /** The event loop is busy when the listeners are closed, 2.6 s after the stop of the fixture's host begins. */
        const val BUSY_AFTER_MILLISECONDS = 2_400L
        const val BUSY_MILLISECONDS = 350L
        const val CALLERS = 20
    }
}
