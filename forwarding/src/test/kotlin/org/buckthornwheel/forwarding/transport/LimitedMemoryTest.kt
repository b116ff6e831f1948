/*
 * Bodies and requests that wait for memory or arrive slowly, at a host on a machine with little memory.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.decision.manifest.CallerLimits
import org.buckthornwheel.forwarding.fixture.RawCaller
import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.limits.MachineLimits
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

internal class LimitedMemoryTest {
    private val host = RunningHost(
        machine = MachineLimits(memoryMegabytes = 1),
        callerLimits = CallerLimits(16_384, BODY_BYTES, headerTimeout = 4.seconds, idleTimeout = 2.seconds),
    )
    private val replica = ScriptedReplica { request ->
        val id = request.header("Id")
        val body = request.body.length.toString()
        send("HTTP/1.1 200 OK\r\nId: $id\r\nSignature: s\r\nContent-Length: ${body.length}\r\n\r\n$body")
    }.also { host.add("r1", it) }

    @AfterEach
    fun close() {
        replica.close()
        host.close()
    }

    private fun RawCaller.sendHead(id: String, length: Int): Unit =
        send("POST /patient/x HTTP/1.1\r\nHost: gateway.example\r\nId: $id\r\nContent-Length: $length\r\n\r\n")

    /** The time limit ran once for the whole body, so that longer bodies had to arrive faster. */
    @Test
    fun `a long body that arrives slowly is served`() {
        host.caller().use { caller ->
            caller.sendHead("q1", length = 5 * PIECE.length)
            repeat(5) {
                Thread.sleep(700)
                caller.send(PIECE)
            }
            expectThat(caller.readResponse()?.body).isEqualTo("${5 * PIECE.length}")
        }
    }

    @Test
    fun `a body that waits for memory is served when another one has ended`() {
        host.caller().use { first ->
            first.sendHead("q1", BODY_BYTES)
            first.send("b".repeat(BODY_BYTES - 1))
            host.caller().use { second ->
                val sending = thread { second.request("POST", "/patient/x", "q2", "c".repeat(BODY_BYTES)) }
                Thread.sleep(200)
                expectThat(replica.requests).isEmpty()
                first.send("b")
                expectThat(first.readResponse()?.body).isEqualTo("$BODY_BYTES")
                expectThat(second.readResponse()?.body).isEqualTo("$BODY_BYTES")
                sending.join()
            }
        }
    }

    @Test
    fun `a body that stops while another one waits for its memory is refused and never passed on`() {
        host.caller().use { first ->
            first.sendHead("q1", BODY_BYTES)
            first.send("b".repeat(BODY_BYTES - 1))
            host.caller().use { second ->
                val sending = thread { second.request("POST", "/patient/x", "q2", "c".repeat(BODY_BYTES)) }
                expectThat(first.readResponse()?.status).isEqualTo(408)
                expectThat(second.readResponse()?.body).isEqualTo("$BODY_BYTES")
                expectThat(replica.requests.map { it.header("Id") }).isEqualTo(listOf("q2"))
                sending.join()
            }
        }
    }

    @Test
    fun `a short request does not wait behind long bodies`() {
        host.caller().use { first ->
            first.sendHead("q1", BODY_BYTES)
            first.send("b")
            host.caller().use { second ->
                second.sendHead("q2", BODY_BYTES)
                host.caller().use { short ->
                    short.request("POST", "/patient/x", "q3", "short")
                    expectThat(short.readResponse()?.body).isEqualTo("5")
                }
            }
        }
    }

    @Test
    fun `a body that is announced to be too long is refused before it is sent`() {
        host.caller().use { caller ->
            caller.sendHead("q1", BODY_BYTES + 1)
            expectThat(caller.readResponse()?.status).isEqualTo(413)
        }
    }

    private companion object {
        /** The host has memory for one such body at a time. */
        const val BODY_BYTES = 4_000_000
        val PIECE = "p".repeat(1_100)
    }
}
