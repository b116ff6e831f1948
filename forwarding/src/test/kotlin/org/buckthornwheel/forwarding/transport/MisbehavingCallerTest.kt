/*
 * Handling of malformed, oversized, slow and pipelined requests, and what a replica receives of them.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue

internal class MisbehavingCallerTest {
    private val host = RunningHost()
    private val replica = ScriptedReplica { request ->
        val body = "echo ${request.header("Id")} ${request.body}"
        send(
            "HTTP/1.1 200 OK\r\nId: ${request.header("Id")}\r\nSignature: s\r\n" +
                "Content-Length: ${body.length}\r\n\r\n$body",
        )
    }.also { host.add("r1", it) }

    @AfterEach
    fun close() {
        replica.close()
        host.close()
    }

    private fun statusOf(text: String): Int? = host.caller().use { caller ->
        caller.send(text)
        caller.readResponse()?.status
    }

    @Test
    fun `two different lengths are rejected and nothing is forwarded`() {
        val text = "POST /act/x HTTP/1.1\r\nHost: gateway.example\r\nId: q1\r\n" +
            "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde"
        expectThat(statusOf(text)).isEqualTo(400)
        expectThat(replica.requests).isEmpty()
    }

    @Test
    fun `a length with chunked encoding is rejected and nothing is forwarded`() {
        val text = "POST /act/x HTTP/1.1\r\nHost: gateway.example\r\nId: q1\r\nContent-Length: 5\r\n" +
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/y HTTP/1.1\r\nHost: gateway.example\r\nId: q2\r\n\r\n"
        expectThat(statusOf(text)).isEqualTo(400)
        expectThat(replica.requests).isEmpty()
    }

    @Test
    fun `bare line feeds are rejected and nothing is forwarded`() {
        expectThat(statusOf("GET /read/x HTTP/1.1\nHost: gateway.example\nId: q1\n\n")).isEqualTo(400)
        expectThat(replica.requests).isEmpty()
    }

    @Test
    fun `a chunked body is forwarded with a length`() {
        val text = "POST /act/x HTTP/1.1\r\nHost: gateway.example\r\nId: q1\r\nTransfer-Encoding: chunked\r\n\r\n" +
            "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        expectThat(statusOf(text)).isEqualTo(200)
        expectThat(replica.requests.single().body).isEqualTo("abcde")
    }

    @Test
    fun `pipelined requests get their responses in order`() {
        host.caller().use { caller ->
            repeat(3) { caller.request("POST", "/act/x", "q$it", "body$it") }
            val bodies = List(3) { caller.readResponse()?.body }
            expectThat(bodies).isEqualTo(List(3) { "echo q$it body$it" })
        }
    }

    @Test
    fun `a connection serves several requests`() {
        host.caller().use { caller ->
            repeat(3) {
                caller.request("GET", "/read/x", "q$it")
                expectThat(caller.readResponse()?.status).isEqualTo(200)
            }
        }
    }

    @Test
    fun `a head that is not complete in time gets 408 and the connection is closed`() {
        host.caller().use { caller ->
            caller.send("GET /read/x HTTP/1.1\r\nHost: gate")
            expectThat(caller.readResponse()?.status).isEqualTo(408)
            expectThat(caller.isClosed()).isTrue()
        }
    }

    @Test
    fun `a head that is too large is rejected`() {
        val text = "GET /read/x HTTP/1.1\r\nHost: gateway.example\r\nId: q1\r\nPadding: ${"p".repeat(3_000)}\r\n\r\n"
        expectThat(statusOf(text)).isEqualTo(431)
    }

    @Test
    fun `a body that is too large is rejected`() {
        val text = "POST /act/x HTTP/1.1\r\nHost: gateway.example\r\nId: q1\r\nContent-Length: 20000\r\n\r\n"
        expectThat(statusOf(text + "b".repeat(20_000))).isEqualTo(413)
        expectThat(replica.requests).isEmpty()
    }

    @Test
    fun `hop-by-hop headers and headers that only hosts may set are not forwarded`() {
        host.caller().use { caller ->
            caller.request(
                "GET",
                "/read/x",
                "q1",
                headers = "Connection: keep-alive, X-Nominated\r\nX-Nominated: 1\r\nTE: trailers\r\n" +
                    "Gateway-Envelope: forged\r\nOnly: forged\r\nX-Kept: yes\r\n",
            )
            caller.readResponse()
        }
        expectThat(replica.requests.single()) {
            get { header("X-Nominated") }.isNull()
            get { header("TE") }.isNull()
            get { header("Gateway-Envelope") }.isNull()
            get { header("Only") }.isEqualTo("r1")
            get { header("X-Kept") }.isEqualTo("yes")
        }
    }

    @Test
    fun `an unknown path gets 404`() {
        val text = "GET /unknown/x HTTP/1.1\r\nHost: gateway.example\r\nId: q1\r\n\r\n"
        expectThat(statusOf(text)).isEqualTo(404)
    }

    @Test
    fun `a draining host announces that it closes the connection`() {
        host.caller().use { caller ->
            caller.request("GET", "/read/x", "q1")
            caller.readResponse()
            val stopping = kotlin.concurrent.thread { host.process.stop() }
            Thread.sleep(100)
            caller.request("GET", "/read/x", "q2")
            val response = caller.readResponse()
            expectThat(response?.head.orEmpty().lowercase()).contains("connection: close")
            stopping.join()
        }
    }
}
