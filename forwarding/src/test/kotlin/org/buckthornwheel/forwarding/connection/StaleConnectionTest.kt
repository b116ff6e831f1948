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
    private val allHaveCome = CountDownLatch(KEPT)
    private val answeredAt = ConcurrentHashMap<ReplicaConnection, TimeSource.Monotonic.ValueTimeMark>()

    /** Forgets connections that were idle; the first [KEPT] requests are answered together. */
    private val replica = ScriptedReplica { request ->
        val idle = answeredAt[this]?.elapsedNow() ?: Duration.ZERO
        if (idle > FORGOTTEN_AFTER) return@ScriptedReplica reset()
        answeredAt[this] = TimeSource.Monotonic.markNow()
        allHaveCome.countDown()
        allHaveCome.await(WAIT_SECONDS, TimeUnit.SECONDS)
        send(signedResponse(request, body = ""))
    }.also { host.add("r1", it) }

    @AfterEach
    fun close() {
        replica.close()
        host.close()
    }

    @Nested
    inner class `given kept connections that the replica forgets while they are idle` {
        @Test
        fun `after one was lost, the others that rested as long are not used`() {
            keepConnections()
            Thread.sleep(IDLE_MILLISECONDS)
            expectThat(sendRequest("lost")?.status).isEqualTo(502)
            val statuses = List(KEPT - 1) { sendRequest("next-$it")?.status }
            expectThat(statuses).isEqualTo(List(KEPT - 1) { 200 })
        }

        @Test
        fun `the replica counts as sound`() {
            keepConnections()
            Thread.sleep(IDLE_MILLISECONDS)
            sendRequest("lost")
            expectThat(sendRequest("next")?.status).isEqualTo(200)
            expectThat(host.process.replicas.all().single().ownLoad.requests).isEqualTo(0)
        }
    }

    @Test
    fun `a caller that leaves says nothing about other idle connections`(): Unit = HostWithReplicas().use { setup ->
        val bothHaveCome = CountDownLatch(2)
        val replica = setup.replica { request ->
            if (request.line.contains("/held")) return@replica
            bothHaveCome.countDown()
            bothHaveCome.await(WAIT_SECONDS, TimeUnit.SECONDS)
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

    private fun keepConnections() {
        val callers = List(KEPT) { host.caller() }
        callers.forEachIndexed { number, caller -> caller.request("POST", "/act/x", "kept-$number") }
        callers.forEach { caller -> caller.use { it.readResponse() } }
    }

    private fun sendRequest(id: String): RawResponse? = host.caller().use { caller ->
        caller.request("POST", "/act/x", id)
        caller.readResponse()
    }

    private companion object {
        const val KEPT = 4
        val FORGOTTEN_AFTER = 150.milliseconds
        const val IDLE_MILLISECONDS = 300L
        const val WAIT_SECONDS = 5L
    }
}
