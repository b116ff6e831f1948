/*
 * A prompt part that crashes each replica that begins to answer a request with it.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.forwarding.fixture.RawResponse
import org.buckthornwheel.forwarding.fixture.RestartingReplicas
import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

internal class DeadlyPromptPartTest {
    private val first = RunningHost("host-1")
    private val hosts = listOf(first) +
        (2..HOSTS).map { RunningHost("host-$it", seedAddresses = listOf(first.self.peerAddress)) }
    private val replicas = RestartingReplicas(hosts, REPLICAS, DEADLY_PART)
    private val callers = Executors.newScheduledThreadPool(CALLER_THREADS)
    private val random = Random(SEED)
    private val number = AtomicInteger()

    private class SoundResponse(val sentAt: MonotonicInstant, val response: RawResponse?)

    private val soundResponses = CopyOnWriteArrayList<SoundResponse>()

    @AfterEach
    fun close() {
        callers.shutdownNow()
        replicas.close()
        hosts.forEach { it.close() }
    }

    private fun send(parts: String): RawResponse? {
        val id = "q${number.incrementAndGet()}"
        return hosts[random.nextInt(HOSTS)].caller().use { caller ->
            caller.request("POST", "/stream/x", id, "question", "Parts: $parts,$id\r\n")
            caller.readResponse()
        }
    }

    private fun sendSound() {
        val sentAt = MonotonicClock.SYSTEM.now()
        soundResponses += SoundResponse(sentAt, send("shared,draft-${random.nextInt(DRAFTS)}"))
    }

    private fun each(milliseconds: Long, send: () -> Unit) {
        callers.scheduleAtFixedRate({ callers.execute { send() } }, 0, milliseconds, TimeUnit.MILLISECONDS)
    }

    /** Guards against a chain of crashes: requests with the part were sent to one replica after another. */
    @Test
    fun `a prompt part that crashes replicas reaches at most three more after five crashes and the contact time`() {
        each(SOUND_INTERVAL_MILLISECONDS, ::sendSound)
        each(DEADLY_INTERVAL_MILLISECONDS) { send("shared,$DEADLY_PART") }
        awaitUntil(20.seconds) { replicas.crashes.size >= CRASHES }
        val bound = replicas.crashes[CRASHES - 1] + CONTACT_TIME
        val end = bound + OBSERVED_TIME
        awaitUntil(CONTACT_TIME + OBSERVED_TIME + 5.seconds) { MonotonicClock.SYSTEM.now() >= end }
        expectThat(replicas.crashingRequests.count { it.at > bound }).isLessThanOrEqualTo(MAXIMUM_AFTER_BOUND)
        val later = soundResponses.filter { it.sentAt > bound }
        expectThat(later.size).isGreaterThanOrEqualTo(MINIMUM_SOUND_REQUESTS)
        expectThat(later.count { it.response?.status == 200 && it.response.isComplete })
            .isGreaterThanOrEqualTo(later.size / 2)
    }

    private companion object {
        const val SEED = 20_261_205
        const val DEADLY_PART = "deadly"
        const val HOSTS = 3
        const val REPLICAS = 4
        const val DRAFTS = 40
        const val CALLER_THREADS = 32
        const val SOUND_INTERVAL_MILLISECONDS = 25L
        const val DEADLY_INTERVAL_MILLISECONDS = 200L

        /** The users' bound: three requests after the fifth crash and the contact time. */
        const val CRASHES = 5
        const val MAXIMUM_AFTER_BOUND = 3
        const val MINIMUM_SOUND_REQUESTS = 20
        val CONTACT_TIME = 5.seconds
        val OBSERVED_TIME = 3.seconds
    }
}
