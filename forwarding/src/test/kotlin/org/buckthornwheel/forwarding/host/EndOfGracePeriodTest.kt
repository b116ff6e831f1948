/*
 * A planned stop whose grace period ends while requests are in progress.
 */

package org.buckthornwheel.forwarding.host

import org.buckthornwheel.forwarding.fixture.HostWithHeldReplica
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

internal class EndOfGracePeriodTest {
    private val running = HostWithHeldReplica()
    private val host = running.host

    @AfterEach
    fun close(): Unit = running.close()

    /** Guards against requests in progress that ended without an answer together with the process. */
    @Test
    fun `a request that a replica may have run gets 502 before the host ends`() {
        val caller = running.callerWithRequestInProgress()
        host.process.stop()
        host.close()
        expectThat(caller.readResponse()).isNotNull().and {
            get { status }.isEqualTo(502)
            get { isComplete }.isEqualTo(true)
            get { header("Retry-After") }.isNull()
            get { header("Connection") }.isEqualTo("close")
        }
    }

    /** Guards against a request that was still arriving when the host ended, and got no answer. */
    @Test
    fun `a request whose body is still arriving gets 503 before the host ends`() {
        val held = running.callerWithRequestInProgress()
        val stopping = thread { host.process.stop() }
        Thread.sleep(ARRIVAL_MILLISECONDS)
        val caller = host.caller()
        caller.send("POST /act/x HTTP/1.1\r\nHost: gateway.example\r\nId: q2\r\nContent-Length: 100\r\n\r\nhalf")
        stopping.join()
        host.close()
        expectThat(caller.readResponse()).isNotNull().get { status }.isEqualTo(503)
        expectThat(running.replica.requests.size).isEqualTo(1)
        held.close()
    }

    /** Guards against a host that waits without limit for a busy event loop, until the platform kills it. */
    @Test
    fun `the shutdown ends with the grace period while an event loop is blocked`() {
        val blocked = CountDownLatch(1)
        host.process.loops.forEach { loop -> loop.execute { blocked.await() } }
        val stopping = thread { host.process.stop() }
        stopping.join(2 * GRACE_MILLISECONDS)
        expectThat(stopping.isAlive).isEqualTo(false)
        blocked.countDown()
    }

    private companion object {
        const val GRACE_MILLISECONDS = 3_000L

        /** Within the grace period of 3 s, less than the fixture's idle timeout of 2 s before its end. */
        const val ARRIVAL_MILLISECONDS = 1_500L
    }
}
