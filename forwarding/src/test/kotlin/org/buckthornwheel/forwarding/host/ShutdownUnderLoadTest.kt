/*
 * A planned stop while callers keep sending requests until the host is gone.
 */

package org.buckthornwheel.forwarding.host

import org.buckthornwheel.forwarding.fixture.RawCaller
import org.buckthornwheel.forwarding.fixture.RawResponse
import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import java.io.IOException
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

internal class ShutdownUnderLoadTest {
    private val host = RunningHost()
    private val replica = ScriptedReplica { send(signedResponse(it, body = "answer")) }.also { host.add("r1", it) }
    private val callers = Executors.newScheduledThreadPool(CALLER_THREADS)
    private val number = AtomicInteger()
    private val answered = AtomicInteger()

    /** What was sent on a connection that the host had accepted, and got no answer. */
    private val cut = CopyOnWriteArrayList<String>()

    @AfterEach
    fun close() {
        callers.shutdownNow()
        replica.close()
        host.close()
    }

    private fun connect(): RawCaller? = try {
        host.caller()
    } catch (_: IOException) {
        null
    }

    private fun send(caller: RawCaller, kind: String): RawResponse? {
        val id = "$kind-${number.incrementAndGet()}"
        val response = try {
            caller.request("POST", "/act/x", id, "question")
            caller.readResponse()
        } catch (_: IOException) {
            null
        }
        if (response == null) cut += id else answered.incrementAndGet()
        return response
    }

    /** Sends one request on a new connection, some time after it was established. */
    private fun sendOnNewConnection(delayMilliseconds: Long) {
        connect()?.use { caller ->
            Thread.sleep(delayMilliseconds)
            send(caller, "new-$delayMilliseconds")
        }
    }

    /** Sends requests on one connection until the host announces that it will close it, and then on the next one. */
    private fun sendOnKeptConnections() {
        while (true) {
            val caller = connect() ?: return
            caller.use {
                do {
                    val response = send(caller, "kept") ?: return
                    Thread.sleep(KEPT_INTERVAL_MILLISECONDS)
                } while (response.header("Connection") != "close")
            }
        }
    }

    /** Guards against a stop that closed connections on which a request was just arriving. */
    @Test
    fun `every request on an accepted connection is answered until the host is gone`() {
        repeat(KEPT_CALLERS) { callers.execute { sendOnKeptConnections() } }
        for (delay in DELAYS) {
            callers.scheduleAtFixedRate(
                { callers.execute { sendOnNewConnection(delay) } },
                0,
                NEW_INTERVAL_MILLISECONDS,
                TimeUnit.MILLISECONDS,
            )
        }
        Thread.sleep(WARM_UP_MILLISECONDS)
        val before = answered.get()
        host.process.stop()
        host.close()
        expectThat(answered.get() - before).isGreaterThan(MINIMUM_ANSWERED)
        expectThat(cut).isEmpty()
    }

    private companion object {
        const val CALLER_THREADS = 64
        const val KEPT_CALLERS = 10
        const val KEPT_INTERVAL_MILLISECONDS = 100L
        const val NEW_INTERVAL_MILLISECONDS = 30L

        /** Delays between the connection and the request: at once, and the round trips within a zone and a region. */
        val DELAYS = listOf(0L, 2L, 12L)
        const val WARM_UP_MILLISECONDS = 300L
        const val MINIMUM_ANSWERED = 200
    }
}
