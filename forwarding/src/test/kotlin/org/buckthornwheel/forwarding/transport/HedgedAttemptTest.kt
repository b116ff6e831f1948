/*
 * Second attempts of requests whose first attempt is late.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.api.RegionName
import org.buckthornwheel.decision.attempt.HedgeLimit
import org.buckthornwheel.forwarding.fixture.HostWithReplicas
import org.buckthornwheel.forwarding.fixture.RecordedRequest
import org.buckthornwheel.forwarding.fixture.ReplicaConnection
import org.buckthornwheel.forwarding.fixture.TestManifest
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.buckthornwheel.forwarding.fixture.chunk
import org.buckthornwheel.forwarding.fixture.chunkedHead
import org.buckthornwheel.forwarding.fixture.event
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.seconds

internal class HedgedAttemptTest {
    private val holdsNext = AtomicBoolean()
    private val wasCancelled = AtomicBoolean()
    private var setup: HostWithReplicas? = null

    @AfterEach
    fun close() {
        setup?.close()
    }

    /** A host whose replicas answer at once, until one of them holds the next request without an answer. */
    private fun host(share: Double) = HostWithReplicas(HedgeLimit(share, window = 60.seconds)).also { host ->
        setup = host
        val replicas = listOf("r1", "r2").map { id -> host.replica(id) { respondOrHold(it) } }
        repeat(LEARNED_REQUESTS) { host.sendRequest("/read/x", method = "GET", body = "", id = "learn-$it") }
        repeat(LEARNED_REQUESTS) { host.sendRequest("/stream/x", method = "GET", body = "", id = "learn-stream-$it") }
        arrivals = { request -> replicas.sumOf { replica -> replica.requests.count { it.header("Id") == request } } }
        holdsNext.set(true)
    }

    private var arrivals: (String) -> Int = { 0 }

    /** Called when a replica holds a request. */
    private var onHold: () -> Unit = {}

    private fun ReplicaConnection.respondOrHold(request: RecordedRequest) {
        if (holdsNext.compareAndSet(true, false)) {
            onHold()
            wasCancelled.set(awaitClose(HOLD_MILLISECONDS))
        }
        if (wasCancelled.get() && request.header("Id") == "late") return
        if (request.line.contains("/stream/")) {
            send(chunkedHead(request) + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n")
        } else {
            send(signedResponse(request, "answer"))
        }
    }

    @Nested
    inner class `given a share of extra work` {
        @Test
        fun `a request that its replica holds is answered by another one, and the first attempt is cancelled`() {
            val response = host(share = 0.2).sendRequest("/read/x", method = "GET", body = "", id = "late")
            expectThat(response).isNotNull().get { status to body }.isEqualTo(200 to "answer")
            awaitUntil { wasCancelled.get() }
            expectThat(arrivals("late")).isEqualTo(2)
        }

        @Test
        fun `a resumable stream without an event yet is hedged, and reaches the caller once`() {
            val response = host(share = 0.2).sendRequest("/stream/x", method = "GET", body = "", id = "late")
            expectThat(response).isNotNull().get { isComplete to body }.isEqualTo(true to event(1) + event(2))
            awaitUntil { wasCancelled.get() }
            expectThat(arrivals("late")).isEqualTo(2)
        }

        // Guards against the homes that the route had when the request arrived.
        @Test
        fun `a late request is not hedged outside the homes in force`() {
            val host = host(share = 0.2)
            val moved = TestManifest.of(version = 2, homeRegions = setOf(RegionName("south")))
            onHold = { host.host.process.routingState.updateManifest(moved) }
            val response = host.sendRequest("/read/x", method = "GET", body = "", id = "late")
            expectThat(response).isNotNull().get { status }.isEqualTo(200)
            expectThat(arrivals("late")).isEqualTo(1)
        }

        @Test
        fun `a request that may run only once is not hedged`() {
            val response = host(share = 0.2).sendRequest("/act/x", id = "late")
            expectThat(response).isNotNull().get { status }.isEqualTo(200)
            expectThat(arrivals("late")).isEqualTo(1)
        }
    }

    @Nested
    inner class `given no share of extra work` {
        @Test
        fun `a late request waits for its replica`() {
            val response = host(share = 0.0).sendRequest("/read/x", method = "GET", body = "", id = "late")
            expectThat(response).isNotNull().get { status }.isEqualTo(200)
            expectThat(arrivals("late")).isEqualTo(1)
        }
    }

    private companion object {
        /** The policy needs 64 responses before it knows which ones are late. */
        const val LEARNED_REQUESTS = 70
        const val HOLD_MILLISECONDS = 1_000
    }
}
