/*
 * A planned stop whose grace period ends while requests are in progress.
 */

package org.buckthornwheel.forwarding.host

import org.buckthornwheel.forwarding.fixture.RawCaller
import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

internal class EndOfGracePeriodTest {
    private val host = RunningHost()
    private val release = CountDownLatch(1)
    private val replica = ScriptedReplica { request ->
        if (request.line.contains("/silent")) release.await()
        send(signedResponse(request, body = "answer"))
    }.also { host.add("r1", it) }

    @AfterEach
    fun close() {
        release.countDown()
        replica.close()
        host.close()
    }

    /** Sends what [send] writes, and stops the host; the process would end when this function returns. */
    private fun stopAfter(send: RawCaller.() -> Unit): RawCaller {
        val caller = host.caller()
        caller.send()
        host.process.stop()
        host.close()
        return caller
    }

    /** Guards against requests in progress that ended without an answer together with the process. */
    @Test
    fun `a request that a replica may have run gets 502 before the host ends`() {
        val caller = stopAfter {
            request("POST", "/act/silent", "q1", "question")
            awaitUntil { replica.requests.isNotEmpty() }
        }
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
        val caller = stopAfter {
            send("POST /act/x HTTP/1.1\r\nHost: gateway.example\r\nId: q1\r\nContent-Length: 100\r\n\r\nhalf")
        }
        expectThat(caller.readResponse()).isNotNull().get { status }.isEqualTo(503)
        expectThat(replica.requests.size).isEqualTo(0)
    }

    /** Guards against a request that was read behind another one and dropped when the host was stopping. */
    @Test
    fun `requests that were read behind another one are answered by a host that is stopping`() {
        val caller = host.caller()
        caller.request("POST", "/act/silent", "q1", "question")
        awaitUntil { replica.requests.isNotEmpty() }
        caller.request("POST", "/act/x", "q2", "question")
        caller.request("POST", "/act/x", "q3", "question")
        val stopping = thread { host.process.stop() }
        awaitUntil { !host.process.isReady }
        release.countDown()
        val responses = List(3) { caller.readResponse() }
        expectThat(responses.map { it?.status }).isEqualTo(listOf(200, 200, 200))
        expectThat(responses.last()).isNotNull().get { header("Connection") }.isEqualTo("close")
        caller.close()
        stopping.join()
    }
}
