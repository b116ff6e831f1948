package org.buckthornwheel.forwarding.host

import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

internal class RegistrationDelayTest {
    private val host = RunningHost(eventLoops = EVENT_LOOPS)
    private val replica = ScriptedReplica { send(signedResponse(it, body = "answer")) }.also { host.add("r1", it) }
    private val statuses = CopyOnWriteArrayList<Int>()

    @AfterEach
    fun close() {
        replica.close()
        host.close()
    }

    /** Guards against accepted connections that were not counted yet when the host decided that it had none left. */
    @ParameterizedTest
    @ValueSource(ints = [0, 1, 2, 3])
    fun `a host does not end before a busy event loop has registered its accepted connections`(busyLoop: Int) {
        val stopping = thread { host.process.stop() }
        Thread.sleep(BUSY_AFTER_MILLISECONDS)
        host.process.loops.elementAt(busyLoop).execute { Thread.sleep(BUSY_MILLISECONDS) }
        val callers = List(2 * EVENT_LOOPS) { host.caller() }
        callers.forEachIndexed { number, caller -> caller.request("POST", "/act/x", "q$number", "question") }
        callers.forEach { caller -> thread { caller.readResponse()?.let { statuses += it.status } } }
        stopping.join()
        expectThat(statuses.toList()).isEqualTo(List(2 * EVENT_LOOPS) { 200 })
    }

    private companion object {
        const val EVENT_LOOPS = 4

        /** Shortly before the fixture's directory responses expire, 800 ms after the stop begins. */
        const val BUSY_AFTER_MILLISECONDS = 600L
        const val BUSY_MILLISECONDS = 700L
    }
}
