package org.buckthornwheel.forwarding.host

import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isContainedIn
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
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
        val taken = awaitUnreadResponses()
        val stopping = thread { host.process.stop() }
        Thread.sleep(READING_PAUSE_MILLISECONDS)
        val responses = List(REQUESTS) { caller.readResponse() }
        caller.close()
        stopping.join()
        expectThat(responses.take(taken).map { it?.body?.length }).isEqualTo(List(taken) { BODY_BYTES })
        expectThat(responses.drop(taken)).all {
            get { this?.isComplete }.isEqualTo(true)
            get { this?.status }.isContainedIn(setOf(200, 503))
        }
    }

    /** Waits until the host takes no more requests, since responses are unread; returns how many it has taken. */
    private fun awaitUnreadResponses(): Int {
        var taken = 0
        awaitUntil {
            val before = taken
            Thread.sleep(STANDSTILL_MILLISECONDS)
            taken = replica.requests.size
            taken > 0 && taken == before
        }
        expectThat(taken).isLessThan(REQUESTS)
        return taken
    }

    private companion object {
        /** Together more than the buffers of both sockets hold. */
        const val REQUESTS = 30
        const val BODY_BYTES = 250_000

        /** After the time at which the stopping host closes idle connections, and before its grace period ends. */
        const val READING_PAUSE_MILLISECONDS = 1_500L
        const val STANDSTILL_MILLISECONDS = 300L
    }
}
