package org.buckthornwheel.forwarding.client

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.buckthornwheel.forwarding.fixture.RecordedRequest
import org.buckthornwheel.forwarding.fixture.ReplicaConnection
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

internal class HttpServiceClientTest {
    private val loops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val services = ArrayList<ScriptedReplica>()

    @AfterEach
    fun close() {
        services.forEach { it.close() }
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    private fun clientOf(respond: ReplicaConnection.(RecordedRequest) -> Unit): HttpServiceClient {
        val service = ScriptedReplica(respond = respond).also { services += it }
        return HttpServiceClient(loops.next(), service.address)
    }

    private fun HttpServiceClient.get(path: String): CallResult {
        val result = CompletableFuture<CallResult>()
        call(HttpCall("GET", path, timeout = 2.seconds)) { result.complete(it) }
        return result.get(5, TimeUnit.SECONDS)
    }

    private fun response(status: String, body: String) =
        "HTTP/1.1 $status Text\r\nContent-Length: ${body.length}\r\n\r\n$body"

    /** Guards against a number that is no status but is taken for an answer of the service. */
    @Test
    fun `a response with a status that is none is no answer`() {
        for (status in listOf("000", "099", "600", "999", "20", "0200", "+200")) {
            val client = clientOf { send(response(status, "broken")) }
            expectThat(client.get("/item")).describedAs("result after the status $status").isA<CallResult.Failed>()
        }
    }

    /** Guards against an answer that is taken for that of the next call. */
    @Test
    fun `an informational response is not the answer`() {
        val client = clientOf { request ->
            send("HTTP/1.1 102 Processing\r\n\r\n")
            Thread.sleep(50)
            send(response("200", request.line.split(' ')[1]))
        }
        val answers = listOf("/first", "/second").map { client.get(it) }
        expectThat(answers.map { (it as? CallResult.Answered)?.body }).isEqualTo(listOf("/first", "/second"))
    }
}
