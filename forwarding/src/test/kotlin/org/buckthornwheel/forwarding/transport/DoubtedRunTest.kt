/*
 * Signs that the run of a replica has ended, although it goes on: the replica is fully used again at once.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.forwarding.fixture.RecordedRequest
import org.buckthornwheel.forwarding.fixture.ReplicaConnection
import org.buckthornwheel.forwarding.fixture.RequestBursts
import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.TestDialect
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import java.io.Closeable
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

internal class DoubtedRunTest {
    private val resources = ArrayList<Closeable>()
    private val host = RunningHost(coldRequestsPerSecond = 6.0).also { resources += it }
    private val bursts = RequestBursts(host)
    private val inquiries = AtomicInteger()

    @AfterEach
    fun close() = resources.forEach { it.close() }

    /** A replica that answers the inquiry with [answer], and requests after [milliseconds]. */
    private fun replica(
        maximumConnections: Int = Int.MAX_VALUE,
        milliseconds: Long = 5,
        afterwards: ReplicaConnection.() -> Unit = {},
        answer: (inquiry: Int) -> String,
    ): ScriptedReplica = ScriptedReplica(maximumConnections = maximumConnections) {
        if (isInquiry(it)) {
            send(answer(inquiries.incrementAndGet()))
        } else {
            Thread.sleep(milliseconds)
            send(signedResponse(it, "answer"))
            afterwards()
        }
    }.also { resources += it }

    private fun isInquiry(request: RecordedRequest): Boolean = " ${TestDialect.RUN_PATH} " in request.line

    private fun run(startedAt: Long): String =
        "HTTP/1.1 200 OK\r\nContent-Length: ${"$startedAt".length}\r\n\r\n$startedAt"

    private fun burst(count: Int): Int = bursts.send(count)

    private fun expectFullUse() {
        var answered = 0
        val duration: Duration = measureTime { answered = burst(FULL) }
        expectThat(answered).isEqualTo(FULL)
        expectThat(duration).isLessThan(PACED_TIME)
    }

    @Test
    fun `a replica that resets connections beyond its limit is fully used again`() {
        host.add("r1", replica(maximumConnections = FULL, milliseconds = 100) { run(1) }, startedAt = 1)
        burst(FULL * 2)
        Thread.sleep(700)
        expectFullUse()
    }

    @Test
    fun `a replica that rejects the inquiry is asked again`() {
        val replica = replica { if (it == 1) "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n" else run(1) }
        host.add("r1", replica, startedAt = 1)
        burst(FULL)
        replica.resetConnections()
        awaitUntil { inquiries.get() > 0 }
        Thread.sleep(200)
        expectFullUse()
    }

    /** Guards against a live replica that is paced as a cold one without end. */
    @Test
    fun `a replica that is slow to say which run it is is fully used again`() {
        val replica = replica {
            Thread.sleep(SLOW_MILLISECONDS)
            run(1)
        }
        host.add("r1", replica, startedAt = 1)
        burst(FULL)
        replica.resetConnections()
        Thread.sleep(SLOW_MILLISECONDS * 4)
        expectFullUse()
    }

    @Test
    fun `a later run that has warmed up and loses connections is fully used before its registration arrives`() {
        val replica = replica { run(2) }
        host.add("r1", replica, startedAt = 1)
        burst(FULL)
        replica.resetConnections()
        awaitUntil { inquiries.get() > 0 }
        Thread.sleep(3_600)
        expectFullUse()
        replica.resetConnections()
        awaitUntil { inquiries.get() > 1 }
        Thread.sleep(100)
        expectFullUse()
    }

    @Test
    fun `two losses after the same idle time are both signs of the end of a run`() {
        val replica = replica { run(1) }
        host.add("r1", replica, startedAt = 1)
        repeat(2) {
            Thread.sleep(QUIET_MILLISECONDS)
            val earlier = inquiries.get()
            burst(FULL)
            Thread.sleep(IDLE_MILLISECONDS)
            replica.resetConnections()
            awaitUntil { inquiries.get() > earlier }
        }
    }

    @Test
    fun `a replica that closes idle connections is not asked after each`() {
        host.add("r1", replica(afterwards = ::closeLater) { run(1) }, startedAt = 1)
        host.caller().use { caller ->
            repeat(10) {
                caller.request("POST", "/act/x", "q$it", "question")
                caller.readResponse()
                Thread.sleep(300)
            }
        }
        expectThat(inquiries.get()).isLessThanOrEqualTo(3)
    }

    private fun closeLater(connection: ReplicaConnection) {
        thread(isDaemon = true) {
            Thread.sleep(200)
            connection.close()
        }
    }

    private companion object {
        /** A cold replica gets the last of these requests two and a half seconds after the first one. */
        val PACED_TIME = 2.seconds
        const val FULL = 6
        const val IDLE_MILLISECONDS = 300L
        const val SLOW_MILLISECONDS = 700L

        /** Longer than the last inquiry takes to end. */
        const val QUIET_MILLISECONDS = 300L
    }
}
