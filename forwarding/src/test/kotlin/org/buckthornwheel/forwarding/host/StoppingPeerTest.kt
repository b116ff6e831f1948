/*
 * Requests that a host of another region forwards to a host that is stopping.
 */

package org.buckthornwheel.forwarding.host

import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

internal class StoppingPeerTest {
    private val north = RunningHost("north-1", "north")
    private val seeds = listOf(north.self.peerAddress)
    private val stopping = RunningHost("south-1", "south", seeds)
    private val hosts = arrayListOf(north, stopping)
    private val release = CountDownLatch(1)
    private val replica = ScriptedReplica { request ->
        if (request.line.contains("/held")) release.await()
        send(signedResponse(request, body = "answer"))
    }
    private val held = stopping.caller()
    private var stop: Thread? = null

    @AfterEach
    fun close() {
        release.countDown()
        held.close()
        stop?.join()
        replica.close()
        hosts.forEach { it.close() }
    }

    private fun now() = MonotonicClock.SYSTEM.now()

    private fun startOther(zone: String) {
        openOther(zone)
        awaitOther()
    }

    /** Starts a host that is not ready, as it knows no replica. */
    private fun openOther(zone: String) {
        hosts += RunningHost("south-2", "south", seeds + stopping.self.peerAddress, zone = zone)
    }

    private fun awaitOther() {
        hosts.forEach { it.add("s1", replica, region = "south") }
        awaitUntil { north.process.hosts.ready(now()).size == 2 }
    }

    /** A request in progress keeps the host from ending before the end of its grace period. */
    private fun stopWithARequestInProgress() {
        held.request("POST", "/patient/held", "held")
        awaitUntil { replica.requests.isNotEmpty() }
        stop = thread { stopping.process.stop() }
        awaitUntil { !stopping.process.isReady }
        Thread.sleep(DIRECTORY_EXPIRY_MILLISECONDS)
    }

    private fun statuses(count: Int): Map<Int?, Int> = (1..count).map { number ->
        north.caller().use { caller ->
            caller.request("POST", "/patient/x", "q$number", "question")
            caller.readResponse()?.status
        }
    }.groupingBy { it }.eachCount()

    /** Guards against a 503 for requests that are nearest to a zone whose only host is stopping. */
    @Test
    fun `a request nearest to the zone of a stopping host is forwarded to a ready host of its region`() {
        startOther(zone = "south-b")
        stopWithARequestInProgress()
        expectThat(north.process.hosts.ready(now()).single().name.value).isEqualTo("south-2")
        expectThat(statuses(REQUESTS)).isEqualTo(mapOf(200 to REQUESTS))
    }

    /** Guards against a 503 for requests that reach a stopping host whose heartbeats are lost. */
    @Test
    fun `a request that a stopping host rejects is forwarded to another host of its region`() {
        startOther(zone = "south-a")
        loseHeartbeats()
        stopWithARequestInProgress()
        expectThat(statuses(REQUESTS)).isEqualTo(mapOf(200 to REQUESTS))
    }

    /** Guards against a failure of a request that another host of the region can still run. */
    @Test
    fun `an idempotent request in progress at the end of a stopping host is run through another host`() {
        hosts.forEach { it.add("s1", replica, region = "south") }
        awaitUntil { north.process.hosts.ready(now()).size == 1 }
        openOther(zone = "south-a")
        val caller = north.caller()
        caller.request("GET", "/read/held", "q1")
        awaitUntil { replica.requests.size == 1 }
        awaitOther()
        stop = thread {
            stopping.process.stop()
            release.countDown()
        }
        val response = caller.readResponse()
        caller.close()
        expectThat(response).isNotNull().get { status }.isEqualTo(200)
        expectThat(replica.requests.size).isEqualTo(2)
    }

    /** Heartbeats of an earlier incarnation than the known one count for nothing, as if they were lost. */
    private fun loseHeartbeats() {
        val later = stopping.self.copy(incarnation = Incarnation(2))
        north.process.hosts.recordHeartbeat(later, isReady = true, interval = 10.seconds, now())
    }

    private companion object {
        const val REQUESTS = 20

        /** Longer than the fixture's directory time to live of 300 ms plus the slack for requests in transit. */
        const val DIRECTORY_EXPIRY_MILLISECONDS = 900L
    }
}
