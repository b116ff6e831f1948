/*
 * Requests that arrive at a host before it has learned the manifest.
 *
 * After a loss of power of all hosts, callers connect as soon as the listeners are open. A rejected caller has to
 * connect again, often to a host in the same state.
 */

package org.buckthornwheel.forwarding.host

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.decision.startup.StartupAdmission
import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.TestManifest
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull

internal class StartupTest {
    private val host = RunningHost(knowsManifest = false)
    private val replica = ScriptedReplica { send(signedResponse(it, body = it.header("Remaining").orEmpty())) }
        .also { host.add("r1", it) }

    @AfterEach
    fun close() {
        replica.close()
        host.close()
    }

    @Test
    fun `a request that arrives shortly before the manifest is served, within its own deadline`() {
        host.caller().use { caller ->
            caller.request("POST", "/act/x", "q1", "question", "Remaining: 2000\r\n")
            Thread.sleep(LEARNING_MILLISECONDS)
            host.process.routingState.updateManifest(TestManifest.of())
            expectThat(caller.readResponse()).isNotNull().and {
                get { status }.isEqualTo(200)
                get { body.toLong() }.isLessThan(2_001 - LEARNING_MILLISECONDS)
            }
        }
    }

    @Test
    fun `pipelined requests that wait for the manifest are answered in order`() {
        host.caller().use { caller ->
            caller.request("POST", "/act/x", "q1", "question")
            caller.request("POST", "/act/x", "q2", "question")
            host.process.routingState.updateManifest(TestManifest.of())
            expectThat(caller.readResponse()?.header("Id")).isEqualTo("q1")
            expectThat(caller.readResponse()?.header("Id")).isEqualTo("q2")
        }
    }

    @Test
    fun `without a manifest a waiting request is rejected, and later ones at once`() {
        val rejected = host.caller().use { caller ->
            caller.request("POST", "/act/x", "q1", "question")
            caller.readResponse()
        }
        expectThat(rejected).isNotNull().and {
            get { status }.isEqualTo(503)
            get { header("Retry-After") }.isNotNull()
        }
        val begin = MonotonicClock.SYSTEM.now()
        val later = host.caller().use { caller ->
            caller.request("POST", "/act/x", "q2", "question")
            caller.readResponse()
        }
        expectThat(later?.status).isEqualTo(503)
        expectThat(MonotonicClock.SYSTEM.now() - begin).isLessThan(StartupAdmission.MAXIMUM_WAIT)
        expectThat(replica.requests.size).isEqualTo(0)
    }

    @Test
    fun `a request whose caller leaves while it waits is not sent`() {
        host.caller().use { it.request("POST", "/act/x", "q1", "question") }
        Thread.sleep(LEARNING_MILLISECONDS)
        host.process.routingState.updateManifest(TestManifest.of())
        Thread.sleep(LEARNING_MILLISECONDS)
        expectThat(replica.requests.size).isEqualTo(0)
    }

    private companion object {
        const val LEARNING_MILLISECONDS = 200L
    }
}
