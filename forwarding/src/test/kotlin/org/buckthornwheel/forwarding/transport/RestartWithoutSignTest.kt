/*
 * Replicas that start again under their identifier, where hosts see no sign of that before they use the new run.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.forwarding.fixture.RecordedRequest
import org.buckthornwheel.forwarding.fixture.ReplicaConnection
import org.buckthornwheel.forwarding.fixture.RequestBursts
import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.TestDialect
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.buckthornwheel.forwarding.listener.ReservedLoopbackPort
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.io.Closeable
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

internal class RestartWithoutSignTest {
    private val resources = ArrayList<Closeable>()

    /** As many hosts as use a cold replica at the same time. */
    private val hosts = List(HOSTS) {
        RunningHost("host-$it", coldRequestsPerSecond = COLD_PER_SECOND).also { host -> resources += host }
    }
    private val bursts = hosts.map(::RequestBursts)

    /** Held between two runs, too, so that no outgoing connection takes it. */
    private val port = ReservedLoopbackPort().also { resources += it }

    /** Requests that reached the run that started last. */
    private val arrivals = CopyOnWriteArrayList<MonotonicInstant>()

    @AfterEach
    fun close() = resources.forEach { it.close() }

    /** A run of the replica, which started at [startedAt] and answers requests by [respond]. */
    private fun run(startedAt: Long, respond: ReplicaConnection.(RecordedRequest) -> Unit): ScriptedReplica =
        ScriptedReplica(port = port) {
            if (" ${TestDialect.RUN_PATH} " in it.line) {
                send("HTTP/1.1 200 OK\r\nContent-Length: ${"$startedAt".length}\r\n\r\n$startedAt")
            } else {
                respond(it)
            }
        }.also { resources += it }

    private fun coldRun(headers: String = ""): ScriptedReplica = run(startedAt = 2) {
        arrivals += MonotonicClock.SYSTEM.now()
        send(signedResponse(it, "answer", headers))
    }

    /** Each host sends [count] requests at the same time. */
    private fun sendFromEach(count: Int) {
        bursts.map { thread(isDaemon = true) { it.send(count) } }.forEach { it.join() }
    }

    private fun worstSecond(): Int =
        arrivals.maxOfOrNull { first -> arrivals.count { it >= first && it - first < 1.seconds } } ?: 0

    @Test
    fun `hosts without a connection to a replica that started again flood it before its registration arrives`() {
        val first = run(startedAt = 1) { send(signedResponse(it, "answer", CLOSING)) }
        hosts.forEach { it.add("r1", first, startedAt = 1) }
        sendFromEach(count = 1)
        first.close()
        coldRun(CLOSING)
        repeat(ROUNDS) {
            sendFromEach(PER_ROUND)
            Thread.sleep(PAUSE_MILLISECONDS)
        }
        expectThat(worstSecond()).isLessThanOrEqualTo(ALLOWED)
    }

    /** The connections to the first run end when the second one has got as many requests as it tolerates. */
    @Test
    fun `hosts that learn late of the end of a run add the requests of a cold replica to those that they sent`() {
        val first = run(startedAt = 1) { awaitClose(RUN_MILLISECONDS) }
        hosts.forEach { it.add("r1", first, startedAt = 1) }
        bursts.forEach { thread(isDaemon = true) { it.send(1) } }
        awaitUntil { first.requests.size == HOSTS }
        first.stopAccepting()
        coldRun()
        sendFromEach(ALLOWED / HOSTS)
        expectThat(arrivals.size).isEqualTo(ALLOWED)
        first.resetConnections()
        repeat(ROUNDS) {
            Thread.sleep(PAUSE_MILLISECONDS)
            sendFromEach(count = 1)
        }
        expectThat(worstSecond()).isLessThanOrEqualTo(ALLOWED)
    }

    private companion object {
        const val HOSTS = 3
        const val COLD_PER_SECOND = 6.0

        /** One and a half times the rate, and three (users' pages). */
        const val ALLOWED = 12
        const val CLOSING = "Connection: close\r\n"
        const val ROUNDS = 4
        const val PER_ROUND = 2
        const val PAUSE_MILLISECONDS = 100L
        const val RUN_MILLISECONDS = 10_000
    }
}
