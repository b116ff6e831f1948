package org.buckthornwheel.scenarios.request

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.buckthornwheel.testing.awaitUntil
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class GracefulShutdownTest {
    @Nested
    inner class `given a target that reports that it is leaving` {
        @Test
        fun `it gets no new requests, and the stream in progress is completed`(): Unit = runBlocking {
            RequestEstate.oneZone(engines = 2).use { running ->
                val servingTarget = CompletableDeferred<String>()
                val stream = running.startStream(servingTarget)
                val leaving = running.engine(servingTarget.await())
                running.caller.leave(leaving)
                awaitUntil("the host lists the target as leaving") { running.isListedAsLeaving(leaving) }
                val before = running.caller.count(leaving, "started")
                val host = running.estate.hosts.first().callers
                repeat(20) { running.caller.stream(host, "short", tokens = 1) }
                expectThat(running.caller.count(leaving, "started")).isEqualTo(before)
                expectThat(stream.await().tokenNumbers()).isEqualTo((0 until TOKENS).toList())
            }
        }
    }

    @Nested
    inner class `given a host that is terminated during a stream` {
        @Test
        fun `it is no longer an entry host, the stream is completed, and its exit code is 0`(): Unit = runBlocking {
            RequestEstate.oneZone(engines = 1).use { running ->
                val host = running.estate.hosts.first()
                val servingTarget = CompletableDeferred<String>()
                val stream = running.startStream(servingTarget)
                servingTarget.await()
                running.estate.process(host.name).terminate()
                awaitUntil("the host lists no entry hosts") { running.caller.entryHosts(host.callers).isEmpty() }
                expectThat(stream.await().tokenNumbers()).isEqualTo((0 until TOKENS).toList())
                expectThat(running.estate.process(host.name).awaitExit(EXIT_TIMEOUT_SECONDS)).isEqualTo(0)
            }
        }
    }

    private fun RequestEstate.startStream(servingTarget: CompletableDeferred<String>) =
        kotlinx.coroutines.CoroutineScope(Dispatchers.IO).async {
            caller.stream(estate.hosts.first().callers, "mooring", TOKENS) { event ->
                servingTarget.complete(event.target)
                true
            }
        }

    private companion object {
        const val TOKENS = 400
        const val EXIT_TIMEOUT_SECONDS = 30L
    }
}
