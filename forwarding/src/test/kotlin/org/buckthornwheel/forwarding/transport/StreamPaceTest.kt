/*
 * Slow and stalled streams.
 *
 * A slow but sound stream must not be cut. A stalled one that sends a byte now and then must end, and its replica must
 * not pass for one that makes progress: only whole events are of use to a caller.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.forwarding.fixture.HostWithReplicas
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.buckthornwheel.forwarding.fixture.chunk
import org.buckthornwheel.forwarding.fixture.chunkedHead
import org.buckthornwheel.forwarding.fixture.event
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.io.IOException
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class StreamPaceTest {
    private val setup = HostWithReplicas()
    private val isCancelled = AtomicBoolean()

    @AfterEach
    fun close() = setup.close()

    private fun addDrippingReplica() = setup.replica { request ->
        send(chunkedHead(request) + chunk(event(1)))
        try {
            while (true) {
                Thread.sleep(DRIP_MILLISECONDS)
                send(chunk(":"))
            }
        } catch (failure: IOException) {
            isCancelled.set(true)
            throw failure
        }
    }

    private fun isUnavailable(): Boolean = requireNotNull(setup.host.process.replicas.find(ReplicaId("r1")))
        .snapshot(emptyList(), MonotonicClock.SYSTEM.now()).isUnavailable

    @Test
    fun `a slow stream of whole events is relayed to its end`() {
        setup.replica { request ->
            send(chunkedHead(request))
            repeat(EVENTS) {
                Thread.sleep(SLOW_MILLISECONDS)
                send(chunk(event(it + 1)))
            }
            send("0\r\n\r\n")
        }
        expectThat(setup.sendRequest("/once/x")).isNotNull().and {
            get { isComplete }.isTrue()
            get { body }.contains("id: $EVENTS\n")
        }
        expectThat(isUnavailable()).isFalse()
    }

    @Test
    fun `a stream that drips bytes without an event ends at its deadline and looks incomplete`() {
        addDrippingReplica()
        val response = setup.host.caller().use { caller ->
            caller.request("POST", "/once/x", "q1", "question", "Remaining: 1000\r\n")
            caller.readResponse()
        }
        expectThat(response).isNotNull().get { isComplete }.isFalse()
        awaitUntil(1.seconds) { isCancelled.get() }
    }

    @Test
    fun `a replica that drips bytes without an event gets no more requests`() {
        addDrippingReplica()
        thread(isDaemon = true) { setup.sendRequest("/once/x") }
        awaitUntil(3_500.milliseconds) { isUnavailable() }
        expectThat(isCancelled.get()).isFalse()
    }

    private companion object {
        const val DRIP_MILLISECONDS = 100L
        const val SLOW_MILLISECONDS = 500L
        const val EVENTS = 6
    }
}
