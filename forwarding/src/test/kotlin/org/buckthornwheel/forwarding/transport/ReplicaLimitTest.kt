/*
 * Replicas that name in their responses the requests a second that they take from all hosts together.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.forwarding.fixture.HostWithReplicas
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class ReplicaLimitTest {
    private val fixture = HostWithReplicas()
    private val arrivals = CopyOnWriteArrayList<MonotonicInstant>()
    private val statuses = CopyOnWriteArrayList<Int?>()

    @AfterEach
    fun close() = fixture.close()

    private fun now(): MonotonicInstant = MonotonicClock.SYSTEM.now()

    private fun limited(id: String) = fixture.replica(id) { request ->
        arrivals += now()
        send(signedResponse(request, "answer", "Limit: $LIMIT\r\n"))
    }

    /** Slower, so that requests prefer the limited one. */
    private fun unlimited(id: String) = fixture.replica(id) {
        Thread.sleep(SLOWNESS_MILLISECONDS)
        send(signedResponse(it, "answer"))
    }

    private fun pressFor(duration: Duration) {
        val end = now() + duration
        val callers = Executors.newFixedThreadPool(CALLERS)
        repeat(CALLERS) {
            callers.execute { while (now() < end) statuses += fixture.sendRequest("/read/x")?.status }
        }
        callers.shutdown()
        check(callers.awaitTermination(30, TimeUnit.SECONDS))
    }

    /** The most requests in a window of 4 s that begins at least half a second after the first response. */
    private fun mostInWindow(): Int {
        val counted = arrivals.filter { it - arrivals.first() >= TOLD_AFTER }
        return counted.maxOfOrNull { first -> counted.count { it - first in Duration.ZERO..WINDOW } } ?: 0
    }

    @Test
    fun `given a replica that names its limit, it gets no more, and the others serve the rest`() {
        limited("r1")
        unlimited("r2")
        unlimited("r3")
        pressFor(5.seconds)
        expectThat(mostInWindow()).isLessThanOrEqualTo(ALLOWED)
        expectThat(statuses.toSet()).isEqualTo(setOf<Int?>(200))
    }

    private companion object {
        const val CALLERS = 8
        const val SLOWNESS_MILLISECONDS = 40L
        const val LIMIT = 3.5
        val TOLD_AFTER = 500.milliseconds
        val WINDOW = 4.seconds

        /** One and a half times the limit of the window, and 5 requests (users' pages, LIMIT). */
        const val ALLOWED = 26
    }
}
