/*
 * A whole request that crashes each replica that begins to answer it, and that its caller repeats.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.forwarding.fixture.RawResponse
import org.buckthornwheel.forwarding.fixture.RestartingReplicas
import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class DeadlyRequestTransportTest {
    private val hosts = (1..HOSTS).fold(emptyList<RunningHost>()) { earlier, number ->
        earlier + RunningHost("host-$number", seedAddresses = earlier.map { it.self.peerAddress })
    }
    private val replicas = RestartingReplicas(hosts, REPLICAS, DEADLY, timeToCrash = 200.milliseconds)
    private val callers = Executors.newScheduledThreadPool(CALLER_THREADS)
    private val random = Random(SEED)
    private val number = AtomicInteger()
    private val soundResponses = CopyOnWriteArrayList<Boolean>()

    @AfterEach
    fun close() {
        callers.shutdownNow()
        replicas.close()
        hosts.forEach { it.close() }
    }

    private fun send(path: String, body: String, parts: String?): RawResponse? {
        val id = "q${number.incrementAndGet()}"
        return hosts[random.nextInt(HOSTS)].caller().use { caller ->
            caller.request("POST", path, id, body, parts?.let { "Parts: $it\r\n" }.orEmpty())
            caller.readResponse()
        }
    }

    private fun sendSound(path: String, parts: String?) {
        val own = number.incrementAndGet()
        val response = send(path, "question $own", parts?.let { "$it,own-$own" })
        soundResponses += response?.status == 200 && response.isComplete
    }

    /** Sends sound requests, and the deadly one again and again, as callers do. */
    private fun play(path: String, body: String, parts: String?, last: String) {
        callers.scheduleAtFixedRate(
            { callers.execute { sendSound(path, parts) } },
            0,
            SOUND_INTERVAL_MILLISECONDS,
            TimeUnit.MILLISECONDS,
        )
        awaitUntil { hosts.all { it.process.hosts.all().size >= HOSTS - 1 } && soundResponses.size > HOSTS }
        repeat(ATTEMPTS) {
            send(path, body, parts?.let { "$it,$last" })
            Thread.sleep(REPEAT_MILLISECONDS)
        }
        awaitUntil(2.seconds) { soundResponses.isNotEmpty() }
        expectThat(replicas.crashingRequests.size).isLessThanOrEqualTo(CRASHES + MAXIMUM_AFTER)
        expectThat(soundResponses.count { it }).isGreaterThan(soundResponses.size / 2)
    }

    /** Guards against a request that crashes one replica after another while its caller repeats it. */
    @Test
    fun `a prompt that crashes replicas reaches few after the third crash`() =
        play("/stream/x", "question", "shared", DEADLY)

    /** The same for a service without prompts, where only the body is the same. */
    @Test
    fun `a body that crashes replicas reaches few after the third crash`() = play("/read/x", DEADLY, null, DEADLY)

    private companion object {
        const val SEED = 20_261_206
        const val DEADLY = "deadly"
        const val HOSTS = 3
        const val REPLICAS = 6
        const val CALLER_THREADS = 32
        const val SOUND_INTERVAL_MILLISECONDS = 25L
        const val ATTEMPTS = 12
        const val REPEAT_MILLISECONDS = 50L
        const val CRASHES = 3

        /** The users' bound on requests with a part that crashes replicas, applied to a single request. */
        const val MAXIMUM_AFTER = 3
    }
}
