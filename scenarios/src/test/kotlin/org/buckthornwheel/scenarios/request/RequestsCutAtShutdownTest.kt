package org.buckthornwheel.scenarios.request

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.testing.Caller
import org.buckthornwheel.testing.CallerResponse
import org.buckthornwheel.testing.LocalHost
import org.buckthornwheel.testing.ServiceObserver
import org.buckthornwheel.testing.StreamEvent
import org.buckthornwheel.testing.awaitUntil
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty

/** Guards against a terminated host that closes connections with a request that it has not answered. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RequestsCutAtShutdownTest {
    private lateinit var running: RequestEstate
    private lateinit var callers: List<PersistentCallers>
    private lateinit var buffered: Deferred<CallerResponse>
    private lateinit var streamed: Deferred<List<StreamEvent>>
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)

    private val token get() = running.estate.layout.accounts.first().token
    private val firstHost get() = running.estate.hosts.first()

    @BeforeAll
    fun terminateHostsUnderLoad(): Unit = runBlocking(Dispatchers.IO) {
        running = RequestEstate.withShortGrace(GRACE_MILLISECONDS)
        callers = running.estate.hosts.map { PersistentCallers(it.callers, token) }
        running.estate.hosts.forEach { awaitActions(it) }
        coroutineScope {
            running.estate.hosts.zip(callers).forEach { (host, hostCallers) ->
                hostCallers.start(this) { running.estate.process(host.name).isAlive }
            }
            completeSlowly()
            streamSlowly()
            callers.forEach { awaitUntil("actions are completed") { Outcome.COMPLETED in it.outcomes.values } }
            running.estate.hosts.forEach { running.estate.process(it.name).terminate() }
        }
    }

    @AfterAll
    fun end() {
        scope.cancel()
        running.close()
    }

    @Nested
    inner class `given terminated hosts whose callers keep sending actions` {
        @Test
        fun `every action that a target ran is answered, and none of them as not run`(): Unit = runBlocking {
            val outcomes = callers.flatMap { it.outcomes.entries }.associate { it.key to it.value }
            val ran = ServiceObserver().use { it.effects(running.estate.services) }.map { it.body } - setOf(WARM_UP)
            expectThat(ran).isNotEmpty()
            expectThat(ran.filter { it !in outcomes }).isEmpty()
            expectThat(ran.filter { outcomes[it] == Outcome.NOT_RUN }).isEmpty()
        }

        @Test
        fun `the exit code of each host is 0`() {
            expectThat(running.estate.hosts.map { running.estate.process(it.name).awaitExit(EXIT_TIMEOUT_SECONDS) })
                .all { isEqualTo(0) }
        }
    }

    @Nested
    inner class `given a terminated host with requests that last longer than its grace time` {
        @Test
        fun `the stream ends in an error event with an unknown outcome`(): Unit = runBlocking {
            expectThat(streamed.await().last()) {
                get { kind }.isEqualTo("error")
                get { data }.contains("\"outcome\":\"${Outcome.UNKNOWN.headerValue}\"")
            }
        }

        @Test
        fun `the buffered response reports an unknown outcome`(): Unit = runBlocking {
            expectThat(buffered.await().outcome).isEqualTo(Outcome.UNKNOWN)
        }
    }

    private suspend fun awaitActions(host: LocalHost): Unit = Caller(token).use { caller ->
        listOf(null, "warm-up").forEach { key ->
            awaitUntil("${host.name} serves actions") {
                caller.act(host.callers, key, WARM_UP).outcome == Outcome.COMPLETED
            }
        }
    }

    private suspend fun completeSlowly() {
        buffered = scope.async {
            Caller(token).use { it.complete(firstHost.callers, "slow", LONG_RESPONSE_TOKENS, stream = false) }
        }
        val engine = running.estate.engines.single()
        awaitUntil("the engine generates the response") { running.caller.count(engine, "running") == 1 }
    }

    private suspend fun streamSlowly() {
        val hasBegun = CompletableDeferred<Unit>()
        streamed = scope.async {
            running.caller.stream(firstHost.callers, "mooring", LONG_RESPONSE_TOKENS) {
                hasBegun.complete(Unit)
                true
            }
        }
        hasBegun.await()
    }

    private companion object {
        const val GRACE_MILLISECONDS = 2_000L

        /** Far more than an engine generates before the grace time ends. */
        const val LONG_RESPONSE_TOKENS = 3_000
        const val WARM_UP = "{}"
        const val EXIT_TIMEOUT_SECONDS = 30L
    }
}
