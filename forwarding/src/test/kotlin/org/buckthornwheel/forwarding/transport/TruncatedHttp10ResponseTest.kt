/*
 * Responses that break off for callers of HTTP/1.0, whose response ends with its connection.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.decision.manifest.CallerLimits
import org.buckthornwheel.forwarding.fixture.RawCaller
import org.buckthornwheel.forwarding.fixture.RecordedRequest
import org.buckthornwheel.forwarding.fixture.ReplicaConnection
import org.buckthornwheel.forwarding.fixture.ResponseEnd
import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.chunk
import org.buckthornwheel.forwarding.fixture.chunkedHead
import org.buckthornwheel.forwarding.fixture.event
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import java.net.SocketException
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.milliseconds

internal class TruncatedHttp10ResponseTest {
    private val hosts = ArrayList<RunningHost>()
    private val replicas = ArrayList<ScriptedReplica>()
    private val release = CountDownLatch(1)

    @AfterEach
    fun close() {
        release.countDown()
        replicas.forEach { it.close() }
        hosts.forEach { it.close() }
    }

    private fun host(respond: ReplicaConnection.(RecordedRequest) -> Unit): RunningHost {
        val limits = CallerLimits(2_000, 10_000, headerTimeout = 300.milliseconds, idleTimeout = 600.milliseconds)
        val host = RunningHost(callerLimits = limits).also { hosts += it }
        host.add("r1", ScriptedReplica(respond = respond).also { replicas += it })
        return host
    }

    private fun RunningHost.request(path: String): RawCaller =
        caller().apply { send("POST $path HTTP/1.0\r\nHost: gateway.example\r\nId: q1\r\nContent-Length: 0\r\n\r\n") }

    private fun RunningHost.endOf(path: String): ResponseEnd = request(path).use(ResponseEnd::of)

    @Test
    fun `a stream that is complete ends in order`() {
        val host = host { send(chunkedHead(it) + chunk(event(1)) + "0\r\n\r\n") }
        expectThat(host.endOf("/once/x")).isEqualTo(ResponseEnd.COMPLETE_SUCCESS)
    }

    @Test
    fun `a long response that is complete arrives as a whole`() {
        val host = host { send(chunkedHead(it) + chunk(LONG) + "0\r\n\r\n") }
        host.request("/act/x").use { caller ->
            caller.readHead()
            expectThat(caller.readBytes(LONG.length + 1)).isEqualTo(LONG)
        }
    }

    @Test
    fun `a long response that breaks off is reset`() {
        val host = host {
            send(chunkedHead(it) + chunk(LONG))
            Thread.sleep(PAUSE_MILLISECONDS)
            close()
        }
        expectThat(host.endOf("/act/x")).isEqualTo(ResponseEnd.BROKEN_OFF)
    }

    @Test
    fun `a stream at whose deadline its replica is still at work is reset`() {
        val host = host {
            send(chunkedHead(it) + chunk(event(1)))
            release.await()
        }
        expectThat(host.endOf("/stream/x")).isEqualTo(ResponseEnd.BROKEN_OFF)
    }

    /** Guards against a stream that looks complete because its host ended. */
    @Test
    fun `a stream in progress at the end of its host is reset`() {
        val host = host {
            send(chunkedHead(it) + chunk(event(1)))
            release.await()
        }
        host.request("/long/x").use { caller ->
            caller.readHead()
            caller.readBytes(event(1).length)
            host.close()
            expectThat(caller.isReset()).isEqualTo(true)
        }
    }

    /** Guards against a response that looks complete because its caller was slow. */
    @Test
    fun `a long response whose caller reads nothing for too long is reset`() {
        val host = host {
            send(chunkedHead(it))
            repeat(VERY_LONG_PIECES) { send(chunk(LONG)) }
            send("0\r\n\r\n")
        }
        host.request("/act/x").use { caller ->
            Thread.sleep(STALL_MILLISECONDS)
            caller.readHead()
            expectCatching { caller.readBytes(VERY_LONG_PIECES * LONG.length).length }
                .isFailure().isA<SocketException>()
        }
    }

    private companion object {
        const val PAUSE_MILLISECONDS = 50L

        /** More than the idle timeout and two checks, one a second; less than the deadline. */
        const val STALL_MILLISECONDS = 3_500L
        const val VERY_LONG_PIECES = 100

        /** Longer than a response that is buffered. */
        val LONG = "l".repeat(300_000)
    }
}
