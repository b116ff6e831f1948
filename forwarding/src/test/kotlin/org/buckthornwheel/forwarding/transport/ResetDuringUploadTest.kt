/*
 * Responses without a length that are reset while the request is still being written to the replica.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.decision.manifest.CallerLimits
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.forwarding.fixture.RawCaller
import org.buckthornwheel.forwarding.fixture.RecordedRequest
import org.buckthornwheel.forwarding.fixture.ReplicaConnection
import org.buckthornwheel.forwarding.fixture.ResponseEnd
import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

internal class ResetDuringUploadTest {
    private val limits = CallerLimits(16_384, 16_000_000, headerTimeout = 4.seconds, idleTimeout = 4.seconds)
    private val north = RunningHost("north-1", "north", callerLimits = limits, retryAllowance = 1_000.0)
    private val south = RunningHost(
        "south-1",
        "south",
        seedAddresses = listOf(north.self.peerAddress),
        callerLimits = limits,
        retryAllowance = 1_000.0,
    )
    private var replica: ScriptedReplica? = null
    private var registrations = 0
    private var bodyBytes = HELD_BODY_BYTES
    private var uploads = 3

    @AfterEach
    fun close() {
        replica?.close()
        north.close()
        south.close()
    }

    /** Registers [target] of the south at both hosts, under identifiers that have not failed yet. */
    private fun registerAnew(target: ScriptedReplica) {
        val hosts = listOf(north, south)
        for (host in hosts) {
            listOf("a", "b").forEach { host.process.replicas.remove(ReplicaId("$registrations$it")) }
            listOf("a", "b").forEach { host.add("${registrations + 1}$it", target, region = "south") }
        }
        registrations += 1
    }

    private fun RawCaller.upload(path: String, id: String) = request("POST", path, id, bodyOf(id))

    private fun RawCaller.uploadInChunks(path: String, id: String) {
        send("POST $path HTTP/1.1\r\nHost: gateway.example\r\nId: $id\r\nTransfer-Encoding: chunked\r\n\r\n")
        bodyOf(id).chunked(CHUNK_BYTES).forEach { send("${it.length.toString(HEXADECIMAL)}\r\n$it\r\n") }
        send("0\r\n\r\n")
    }

    private fun RawCaller.uploadAsHttp10(path: String, id: String) {
        val body = bodyOf(id)
        send("POST $path HTTP/1.0\r\nHost: gateway.example\r\nId: $id\r\nContent-Length: ${body.length}\r\n\r\n$body")
    }

    /** A body of its own for each request, since contents that seem to end replicas are quarantined. */
    private fun bodyOf(id: String): String = id.padEnd(bodyBytes, 'b')

    /** The paths whose response looks complete to a caller of [host]. */
    private fun completeAt(
        host: RunningHost,
        target: ScriptedReplica,
        upload: RawCaller.(path: String, id: String) -> Unit,
    ): List<String> = listOf("/act/x", "/read/x", "/once/x", "/stream/x").flatMap { path -> List(uploads) { path } }
        .filter { path ->
            registerAnew(target)
            host.caller().use { caller ->
                caller.upload(path, "q$registrations")
                ResponseEnd.of(caller) == ResponseEnd.COMPLETE_SUCCESS
            }
        }

    private fun expectNoneComplete(respond: ReplicaConnection.(RecordedRequest) -> Unit) {
        val target = ScriptedReplica(readsBody = false, respond = respond).also { replica = it }
        registerAnew(target)
        awaitUntil { north.process.hosts.ready(MonotonicClock.SYSTEM.now()).isNotEmpty() }
        val kinds = mapOf<String, RawCaller.(String, String) -> Unit>(
            "with a length" to { path, id -> upload(path, id) },
            "in chunks" to { path, id -> uploadInChunks(path, id) },
            "of HTTP/1.0" to { path, id -> uploadAsHttp10(path, id) },
        )
        val hosts = mapOf("beside the replica" to south, "in another region" to north)
        val complete = hosts.flatMap { (place, host) ->
            kinds.flatMap { (kind, upload) -> completeAt(host, target, upload).map { "$kind, $place: $it" } }
        }
        expectThat(complete.groupingBy { it }.eachCount()).isEmpty()
        expectThat(target.requests.map { it.header("Id") }.distinct().size).isEqualTo(registrations - 1)
    }

    private fun ReplicaConnection.sendPart(request: RecordedRequest, part: String) =
        send("HTTP/1.1 200 OK\r\nId: ${request.header("Id")}\r\nSignature: s\r\n\r\n$part")

    /** Guards against a part of a body that callers take for the whole. */
    @Test
    fun `a response that is reset at once is not complete`() = expectNoneComplete { request ->
        sendPart(request, PART)
        reset()
    }

    @Test
    fun `a response that is reset later is not complete`() = expectNoneComplete { request ->
        sendPart(request, PART)
        Thread.sleep(LATER_MILLISECONDS)
        reset()
    }

    @Test
    fun `a long response that is reset is not complete`() = expectNoneComplete { request ->
        sendPart(request, LONG_PART)
        Thread.sleep(LATER_MILLISECONDS)
        reset()
    }

    @Test
    fun `a response that is reset while the rest of the request is unsent is not complete`() {
        bodyBytes = UNSENT_BODY_BYTES
        uploads = 1
        expectNoneComplete { request ->
            sendPart(request, PART)
            reset()
        }
    }

    @Test
    fun `a response that ends while the rest of the request is unsent is not complete`() {
        bodyBytes = UNSENT_BODY_BYTES
        uploads = 1
        expectNoneComplete { request ->
            sendPart(request, PART)
            close()
        }
    }

    private companion object {
        const val CHUNK_BYTES = 60_000
        const val HEXADECIMAL = 16
        const val LATER_MILLISECONDS = 30L

        /** A body that the buffers of the connection may hold, so that it is sent though the replica reads nothing. */
        const val HELD_BODY_BYTES = 3_000_000

        /** A body of which most is unsent while the replica reads nothing. */
        const val UNSENT_BODY_BYTES = 12_000_000

        /** A whole event, so that a stream may end after it. */
        const val PART = "id: 1\ndata: piece\n\n"

        /** Longer than a response that is buffered. */
        val LONG_PART = PART.repeat(20_000)
    }
}
