/*
 * Replicas that reject a request with the time for which they want no more.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.forwarding.fixture.HostWithReplicas
import org.buckthornwheel.forwarding.fixture.RawResponse
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.buckthornwheel.forwarding.fixture.rejection
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class PausedReplicaTest {
    private val fixture = HostWithReplicas()
    private val arrivals = CopyOnWriteArrayList<MonotonicInstant>()
    private val rejections = AtomicInteger()

    @AfterEach
    fun close() = fixture.close()

    private fun now(): MonotonicInstant = MonotonicClock.SYSTEM.now()

    /** Adds a replica that rejects its first requests with each of [retryAfter] in turn, and answers all others. */
    private fun pausing(id: String, vararg retryAfter: String) = fixture.replica(id) { request ->
        arrivals += now()
        val number = rejections.getAndIncrement()
        val pause = retryAfter.getOrNull(number)
        send(if (pause == null) signedResponse(request, "answer") else rejection(request, "Retry-After: $pause\r\n"))
    }

    private fun send(): RawResponse? = fixture.sendRequest("/read/x")

    private fun sendFor(duration: Duration) {
        val end = now() + duration
        while (now() < end) send()
    }

    private fun fromAllCallers(send: () -> Unit) {
        val callers = Executors.newFixedThreadPool(CALLERS)
        repeat(CALLERS) { callers.execute { send() } }
        callers.shutdown()
        check(callers.awaitTermination(30, TimeUnit.SECONDS))
    }

    @Test
    fun `a replica gets no request until the end of the pause that it asked for`() {
        pausing("r1", "1.5")
        fromAllCallers { sendFor(3.seconds) }
        val rejectedAt = arrivals.first()
        val during = arrivals.filter { it - rejectedAt in SLACK..1.5.seconds }
        expectThat(during.size).isEqualTo(0)
        expectThat(arrivals.last() - rejectedAt).isGreaterThanOrEqualTo(1.5.seconds)
    }

    @Test
    fun `another replica serves the requests meanwhile`() {
        pausing("r1", "3")
        send()
        fixture.replica("r2") { send(signedResponse(it, "answer")) }
        expectThat((1..20).map { send()?.status }).isEqualTo(List(20) { 200 })
        expectThat(arrivals).hasSize(1)
    }

    @Test
    fun `a later and shorter pause does not end a longer one`() {
        val replica = fixture.replica("r1") { request ->
            arrivals += now()
            val pause = if (rejections.getAndIncrement() == 0) "3" else "0.1"
            Thread.sleep(if (pause == "3") 0 else 100)
            send(rejection(request, "Retry-After: $pause\r\n"))
        }
        fromAllCallers { send() }
        val received = replica.requests.size
        sendFor(1.seconds)
        expectThat(replica.requests.size).isEqualTo(received)
    }

    /** As when the replica's entry expired while the store was down and was then written again. */
    @Test
    fun `a pause that is asked for after the replica was registered again holds`() {
        val isRegisteredAgain = CountDownLatch(1)
        val replica = fixture.replica("r1") { request ->
            val isFirst = rejections.getAndIncrement() == 0
            if (isFirst) isRegisteredAgain.await()
            send(if (isFirst) rejection(request, "Retry-After: 3\r\n") else signedResponse(request, "answer"))
        }
        val first = thread { send() }
        awaitUntil { replica.requests.size == 1 }
        fixture.host.process.replicas.remove(ReplicaId("r1"))
        fixture.host.add("r1", replica)
        isRegisteredAgain.countDown()
        first.join()
        Thread.sleep(SLACK.inWholeMilliseconds)
        val received = replica.requests.size
        repeat(3) { send() }
        expectThat(replica.requests.size).isEqualTo(received)
    }

    /** The store delivers the entry of the new run only after its first responses, as when the host is behind. */
    @Test
    fun `a pause that a new run asked for before the host knew its registration holds`() {
        val replica = pausing("r1", "3")
        send()
        fixture.host.add("r1", replica, startedAt = System.currentTimeMillis() - 1_000)
        Thread.sleep(SLACK.inWholeMilliseconds)
        val received = replica.requests.size
        repeat(3) { send() }
        expectThat(replica.requests.size).isEqualTo(received)
    }

    @Test
    fun `values that are no pause cause none`() {
        pausing("r1", "0", "-5", "NaN", "Wed, 21 Oct 2015 07:28:00 GMT")
        repeat(NO_PAUSES) { send() }
        Thread.sleep(REFUSAL_MILLISECONDS)
        expectThat(send()?.status).isEqualTo(200)
        expectThat(arrivals).hasSize(NO_PAUSES + 1)
    }

    @Test
    fun `a new start of the replica ends a pause of a year`() {
        val replica = pausing("r1", "31536000")
        send()
        expectThat(send()?.status).isEqualTo(503)
        fixture.host.add("r1", replica, startedAt = 1)
        expectThat(send()?.status).isEqualTo(200)
    }

    @Test
    fun `while all replicas pause, requests are rejected at once until the end of the first pause`() {
        pausing("r1", "2", "4")
        fixture.replica("r2") { send(rejection(it, "Retry-After: 4\r\n")) }
        send()
        val startedAt = now()
        val responses = (1..5).map { send() }
        expectThat(now() - startedAt).isLessThan(1.seconds)
        expectThat(responses).all { isNotNull().get { status }.isEqualTo(503) }
        val delays = responses.map { it?.header("Retry-After")?.toDouble()?.seconds ?: Duration.ZERO }
        expectThat(delays).all { isGreaterThanOrEqualTo(1.seconds).isLessThan(3.seconds) }
        expectThat(delays.toSet().size).isGreaterThanOrEqualTo(2)
    }

    /** Guards against all waiting requests being sent as soon as the pause ends. */
    @Test
    fun `after a pause the requests return gradually`() {
        val running = AtomicInteger()
        val most = CopyOnWriteArrayList<Pair<MonotonicInstant, Int>>()
        fixture.replica("r1") { request ->
            val isFirst = arrivals.isEmpty()
            arrivals += now()
            most += now() to running.incrementAndGet()
            if (!isFirst) Thread.sleep(100)
            running.decrementAndGet()
            send(if (isFirst) rejection(request, "Retry-After: 0.5\r\n") else signedResponse(request, "answer"))
        }
        send()
        fromAllCallers { sendFor(3.seconds) }
        val endsAt = arrivals.first() + 500.milliseconds
        expectThat(most.filter { it.first > endsAt && it.first - endsAt < 250.milliseconds }.map { it.second })
            .all { isLessThan(4) }
        expectThat(most.map { it.second }).contains(8)
    }

    @Test
    fun `a successful response with Retry-After asks for no pause`() {
        fixture.replica("r1") { send(signedResponse(it, "answer", "Retry-After: 60\r\n")) }
        expectThat((1..2).map { send()?.status }).isEqualTo(listOf(200, 200))
        expectThat(send()?.header("Gateway-Outcome")).isNull()
    }

    private companion object {
        const val CALLERS = 12
        const val NO_PAUSES = 4
        const val REFUSAL_MILLISECONDS = 200L

        /** The users allow requests that were on their way. */
        val SLACK = 500.milliseconds
    }
}
