/*
 * Replicas that name in their responses the requests a second that they take from all hosts together.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.forwarding.fixture.HostWithReplicas
import org.buckthornwheel.forwarding.fixture.RawResponse
import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import java.io.Closeable
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

    private val closing = ArrayList<Closeable>()

    @AfterEach
    fun close() {
        closing.forEach { it.close() }
        fixture.close()
    }

    private fun now(): MonotonicInstant = MonotonicClock.SYSTEM.now()

    /** The limit that limited replicas name; null for none. */
    @Volatile
    private var named: Double? = LIMIT

    private fun limited(id: String) = fixture.replica(id) { request ->
        arrivals += now()
        send(signedResponse(request, "answer", named?.let { "Limit: $it\r\n" }.orEmpty()))
    }

    /** Slower, so that requests prefer the limited one. */
    private fun unlimited(id: String) = fixture.replica(id) {
        Thread.sleep(SLOWNESS_MILLISECONDS)
        send(signedResponse(it, "answer"))
    }

    private fun pressFor(duration: Duration, hosts: List<RunningHost> = listOf(fixture.host)) {
        val end = now() + duration
        val callers = Executors.newFixedThreadPool(CALLERS)
        repeat(CALLERS) { number ->
            callers.execute { while (now() < end) statuses += send(hosts[number % hosts.size])?.status }
        }
        callers.shutdown()
        check(callers.awaitTermination(30, TimeUnit.SECONDS))
    }

    private fun send(host: RunningHost = fixture.host): RawResponse? = host.caller().use { caller ->
        caller.request("POST", "/read/x", "q1", "question")
        caller.readResponse()
    }

    /** Another host of the region, which knows [replicas] and is known to the first one. */
    private fun secondHost(replicas: Map<String, ScriptedReplica>): RunningHost {
        val second = RunningHost("host-2", seedAddresses = listOf(fixture.host.self.peerAddress))
        closing += second
        replicas.forEach { (id, replica) -> second.add(id, replica) }
        awaitUntil(10.seconds) { listOf(fixture.host, second).all { it.process.hosts.all().isNotEmpty() } }
        return second
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

    @Test
    fun `given two hosts, it gets no more from both together`() {
        val replicas = mapOf("r1" to limited("r1"), "r2" to unlimited("r2"))
        pressFor(5.seconds, listOf(fixture.host, secondHost(replicas)))
        expectThat(mostInWindow()).isLessThanOrEqualTo(ALLOWED)
        expectThat(arrivals.size).isGreaterThanOrEqualTo(LEAST_USED)
        expectThat(statuses.toSet()).isEqualTo(setOf<Int?>(200))
    }

    @Test
    fun `given no other replica, callers are rejected and told when to return`() {
        limited("r1")
        pressFor(5.seconds)
        expectThat(mostInWindow()).isLessThanOrEqualTo(ALLOWED)
        expectThat(arrivals.size).isGreaterThanOrEqualTo(LEAST_USED)
        expectThat(statuses.toSet()).isEqualTo(setOf<Int?>(200, 503))
        val startedAt = now()
        val rejected = generateSequence { send() }.firstOrNull { it.status == 503 }
        expectThat(now() - startedAt).isLessThanOrEqualTo(2.seconds)
        expectThat(rejected?.header("Retry-After")?.toDouble()).isNotNull().isGreaterThan(0.0)
    }

    @Test
    fun `given that it names the limit no longer, it gets requests as before`() {
        limited("r1")
        pressFor(500.milliseconds)
        named = null
        awaitUntil(10.seconds) { (1..10).all { send()?.status == 200 } }
        statuses.clear()
        pressFor(500.milliseconds)
        expectThat(statuses.toSet()).isEqualTo(setOf<Int?>(200))
    }

    @Test
    fun `given a host that had no response of it yet, that host keeps the limit too`() {
        val second = secondHost(mapOf("r1" to limited("r1")))
        repeat(3) { send() }
        val told = arrivals.size
        Thread.sleep(SEVERAL_HEARTBEATS_MILLISECONDS)
        repeat(REQUESTS) { statuses += send(second)?.status }
        expectThat(arrivals.size - told).isLessThanOrEqualTo(ALLOWED)
        expectThat(statuses.count { it == 503 }).isGreaterThanOrEqualTo(1)
    }

    @Test
    fun `given a new start at its address, the limit of the former run is forgotten`() {
        val replica = limited("r1")
        pressFor(500.milliseconds)
        named = null
        fixture.host.add("r1", replica, startedAt = 1)
        statuses.clear()
        pressFor(500.milliseconds)
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

        /** Half of what the limit permits in 5 s. */
        const val LEAST_USED = 8
        const val REQUESTS = 40
        const val SEVERAL_HEARTBEATS_MILLISECONDS = 1_500L
    }
}
