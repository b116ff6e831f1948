package org.buckthornwheel.forwarding.connection

import org.buckthornwheel.forwarding.fixture.HostWithReplicas
import org.buckthornwheel.forwarding.fixture.RawResponse
import org.buckthornwheel.forwarding.fixture.ReplicaConnection
import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

internal class StaleConnectionTest {
    private val host = RunningHost()
    private val allArrived = CountDownLatch(POOLED)
    private val respondedAt = ConcurrentHashMap<ReplicaConnection, TimeSource.Monotonic.ValueTimeMark>()

    /** Resets connections that were idle; the responses to the first [POOLED] requests are sent together. */
    private val replica = ScriptedReplica { request ->
        val idle = respondedAt[this]?.elapsedNow() ?: Duration.ZERO
        if (idle > DROPPED_AFTER) return@ScriptedReplica reset()
        respondedAt[this] = TimeSource.Monotonic.markNow()
        allArrived.countDown()
        allArrived.await(WAIT_SECONDS, TimeUnit.SECONDS)
        send(signedResponse(request, body = ""))
    }.also { host.add("r1", it) }

    @AfterEach
    fun close() {
        replica.close()
        host.close()
    }

    @Nested
    inner class `given pooled connections that the replica drops while they are idle` {
        @Test
        fun `after one was lost, the others that were idle as long are not used`() {
            poolConnections()
            Thread.sleep(IDLE_MILLISECONDS)
            expectThat(sendRequest("lost")?.status).isEqualTo(502)
            val statuses = List(POOLED - 1) { sendRequest("next-$it")?.status }
            expectThat(statuses).isEqualTo(List(POOLED - 1) { 200 })
        }

        @Test
        fun `the replica is still considered healthy`() {
            poolConnections()
            Thread.sleep(IDLE_MILLISECONDS)
            sendRequest("lost")
            expectThat(sendRequest("next")?.status).isEqualTo(200)
            expectThat(host.process.replicas.all().single().ownLoad.requests).isEqualTo(0)
        }
    }

    @Test
    fun `a caller that disconnects does not affect other idle connections`(): Unit = HostWithReplicas().use { setup ->
        val bothArrived = CountDownLatch(2)
        val replica = setup.replica { request ->
            if (request.line.contains("/held")) return@replica
            bothArrived.countDown()
            bothArrived.await(WAIT_SECONDS, TimeUnit.SECONDS)
            send(signedResponse(request, body = ""))
        }
        val callers = List(2) { setup.host.caller() }
        callers.forEachIndexed { number, caller -> caller.request("POST", "/act/x", "kept-$number") }
        callers.forEach { caller -> caller.use { it.readResponse() } }
        Thread.sleep(IDLE_MILLISECONDS)
        setup.host.caller().use { caller ->
            caller.request("POST", "/act/held", "left")
            awaitUntil { replica.requests.size == 3 }
        }
        awaitUntil { setup.host.process.replicas.all().single().ownLoad.requests == 0 }
        setup.sendRequest("/act/x", id = "next")
        expectThat(replica.connections.get()).isEqualTo(2)
    }

    private fun poolConnections() {
        val callers = List(POOLED) { host.caller() }
        callers.forEachIndexed { number, caller -> caller.request("POST", "/act/x", "kept-$number") }
        callers.forEach { caller -> caller.use { it.readResponse() } }
    }

    private fun sendRequest(id: String): RawResponse? = host.caller().use { caller ->
        caller.request("POST", "/act/x", id)
        caller.readResponse()
    }

    private companion object {
        const val POOLED = 4
        val DROPPED_AFTER = 150.milliseconds
        const val IDLE_MILLISECONDS = 300L
        const val WAIT_SECONDS = 5L
    }
}
