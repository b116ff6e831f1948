/*
 * Replicas that crash and start again under their identifier before their new registration arrives.
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
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.io.Closeable
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class RestartBeforeRegistrationTest {
    private val resources = ArrayList<Closeable>()
    private val host = RunningHost(coldRequestsPerSecond = COLD_PER_SECOND).also { resources += it }

    /** Held between two runs, too, so that no outgoing connection takes it. */
    private val port = ReservedLoopbackPort().also { resources += it }
    private val arrivals = CopyOnWriteArrayList<MonotonicInstant>()
    private val bursts = RequestBursts(host)

    @AfterEach
    fun close() = resources.forEach { it.close() }

    /** A run of the replica, which started at [startedAt]. */
    private fun run(startedAt: Long, speaks: Boolean = true): ScriptedReplica =
        ScriptedReplica(port = port) { respond(it, startedAt, speaks) }.also { resources += it }

    private fun ReplicaConnection.respond(request: RecordedRequest, startedAt: Long, speaks: Boolean) {
        if (" ${TestDialect.RUN_PATH} " !in request.line) {
            arrivals += MonotonicClock.SYSTEM.now()
            Thread.sleep(RESPONSE_MILLISECONDS)
            return send(signedResponse(request, "answer"))
        }
        if (speaks) return send("HTTP/1.1 200 OK\r\nContent-Length: ${"$startedAt".length}\r\n\r\n$startedAt")
        send("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")
    }

    private fun burst(count: Int): Int = bursts.send(count)

    /** Sends requests for [milliseconds], many more than a cold replica may get. */
    private fun load(milliseconds: Int) {
        val end = MonotonicClock.SYSTEM.now() + milliseconds.milliseconds
        while (MonotonicClock.SYSTEM.now() < end) {
            thread(isDaemon = true) { burst(1) }
            Thread.sleep(LOAD_PAUSE_MILLISECONDS)
        }
    }

    private fun worstSecond(times: List<MonotonicInstant>): Int =
        times.maxOfOrNull { first -> times.count { it >= first && it - first < 1.seconds } } ?: 0

    private fun crash(replica: ScriptedReplica) {
        replica.close()
        burst(FAILING)
    }

    @Test
    fun `a replica that started again gets no more requests than a cold one before its registration arrives`() {
        val first = run(startedAt = 1)
        host.add("r1", first, startedAt = 1)
        burst(WARM)
        crash(first)
        arrivals.clear()
        run(startedAt = 2)
        load(milliseconds = 2_500)
        expectThat(worstSecond(arrivals)).isLessThanOrEqualTo(ALLOWED)
        expectThat(arrivals.size).describedAs("use of what the rate allows").isGreaterThanOrEqualTo(SHARE)
    }

    @Test
    fun `a replica that does not say which run it is gets no more requests than a cold one for its warm-up time`() {
        val first = run(startedAt = 1, speaks = false)
        host.add("r1", first, startedAt = 1)
        burst(WARM)
        crash(first)
        arrivals.clear()
        run(startedAt = 2, speaks = false)
        load(milliseconds = 2_500)
        expectThat(worstSecond(arrivals)).isLessThanOrEqualTo(ALLOWED)
    }

    /** The registration names the new run a moment after it has got unpaced requests. */
    @Test
    fun `a host that learns late of a restart adds no more than it sent before`() {
        val replica = run(startedAt = 1)
        host.add("r1", replica, startedAt = 1)
        burst(UNPACED)
        host.add("r1", replica, startedAt = 2, coldFor = 3.seconds)
        load(milliseconds = 600)
        expectThat(worstSecond(arrivals)).isEqualTo(UNPACED)
    }

    /** The connections to the second run were opened while the registration named the first one. */
    @Test
    fun `a run that ends once it is registered is doubted by its earlier connections too`() {
        val second = run(startedAt = 2)
        host.add("r1", second, startedAt = 1)
        burst(WARM)
        host.add("r1", second, startedAt = 2)
        second.close()
        run(startedAt = 3)
        Thread.sleep(SIGN_MILLISECONDS)
        arrivals.clear()
        burst(ALLOWED * 2)
        expectThat(worstSecond(arrivals)).isLessThanOrEqualTo(ALLOWED)
    }

    @Test
    fun `a replica that only lost its connections serves all requests`() {
        val replica = run(startedAt = 1)
        host.add("r1", replica, startedAt = 1)
        burst(WARM)
        replica.resetConnections()
        awaitUntil { burst(WARM) == WARM }
        expectThat(burst(WARM)).isEqualTo(WARM)
    }

    @Test
    fun `a replica that started again serves all requests once it has warmed up`() {
        val first = run(startedAt = 1)
        host.add("r1", first, startedAt = 1)
        crash(first)
        run(startedAt = 2)
        awaitUntil(20.seconds) { burst(WARM) == WARM }
    }

    private companion object {
        const val COLD_PER_SECOND = 6.0

        /** One and a half times the rate, and three (users' pages). */
        const val ALLOWED = 12

        /** A third of the rate for two and a half seconds, less a request that is due at the end. */
        const val SHARE = 4
        const val WARM = 8
        const val UNPACED = 6
        const val FAILING = 4
        const val RESPONSE_MILLISECONDS = 5L
        const val SIGN_MILLISECONDS = 100L
        const val LOAD_PAUSE_MILLISECONDS = 20L
    }
}
