package org.buckthornwheel.forwarding.host

import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

internal class ClosedAfterResponseTest {
    private val host = RunningHost()
    private val replica = ScriptedReplica { send(signedResponse(it, body = "answer")) }.also { host.add("r1", it) }

    @AfterEach
    fun close() {
        replica.close()
        host.close()
    }

    /** Guards against a connection that stayed open if its last response was written at once. */
    @Test
    fun `a connection ends after the response to a request that asks for it`() {
        host.caller().use { caller ->
            caller.request("POST", "/act/x", "q1", "question", headers = "Connection: close\r\n")
            expectThat(caller.readResponse()?.status).isEqualTo(200)
            expectThat(caller.isClosed()).isTrue()
        }
    }
}
