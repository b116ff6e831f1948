package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.forwarding.fixture.RequestBursts
import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.TestDialect
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import java.io.Closeable

internal class RestartWithoutColdLimitTest {
    private val resources = ArrayList<Closeable>()
    private val host = RunningHost(coldRequestsPerSecond = 0.0).also { resources += it }

    @AfterEach
    fun close() = resources.forEach { it.close() }

    // A stream went on at a run of another version, since its service limits no cold replicas.
    @Test
    fun `the run of a replica that lost its connections is not certain although its service limits no cold replicas`() {
        val replica = ScriptedReplica {
            if (" ${TestDialect.RUN_PATH} " in it.line) send(LATER_RUN) else send(signedResponse(it, "answer"))
        }.also { resources += it }
        host.add("r1", replica, startedAt = 1)
        RequestBursts(host).send(2)
        replica.resetConnections()
        awaitUntil { !isRunCertain() }
    }

    private fun isRunCertain(): Boolean =
        host.process.replicas.find(ReplicaId("r1"))!!.coldness.isRunCertain(run = 1, MonotonicClock.SYSTEM.now())

    private companion object {
        /** The answer of a run that started at another time than the registered one. */
        const val LATER_RUN = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2"
    }
}
