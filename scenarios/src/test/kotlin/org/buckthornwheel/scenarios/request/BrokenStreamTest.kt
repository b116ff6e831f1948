package org.buckthornwheel.scenarios.request

import kotlinx.coroutines.runBlocking
import org.buckthornwheel.testing.Fault
import org.buckthornwheel.testing.StreamEvent
import org.buckthornwheel.testing.awaitUntil
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class BrokenStreamTest {
    private lateinit var running: RequestEstate

    private val host get() = running.estate.hosts.first().callers

    @BeforeAll
    fun start() {
        running = RequestEstate.oneZone(engines = 4)
    }

    @AfterAll
    fun end(): Unit = running.close()

    @Nested
    inner class `given a stream in progress` {
        @Test
        fun `when its target is killed the caller gets every token once and the end marker`() {
            expectComplete(streamWithFault { running.estate.process(it.target).kill() })
        }

        @Test
        fun `when its connection stalls the caller gets every token once and the end marker`() {
            expectComplete(streamWithFault { running.proxy(running.engine(it.target)).fault = Fault.SILENT })
        }

        @Test
        fun `when its caller disconnects the engine stops generating for it`(): Unit = runBlocking {
            var servingTarget = ""
            running.caller.stream(host, "leaving", tokens = LONG_STREAM_TOKENS) { event ->
                servingTarget = event.target
                false
            }
            val engine = running.engine(servingTarget)
            awaitUntil("the engine has stopped generating", DISCONNECT_TIMEOUT) {
                running.caller.count(engine, "running") == 0
            }
        }
    }

    private fun streamWithFault(injectFault: (StreamEvent) -> Unit): List<StreamEvent> = runBlocking {
        var eventCount = 0
        running.caller.stream(host, "mooring", TOKENS) { event ->
            eventCount += 1
            if (eventCount == EVENTS_BEFORE_FAULT) injectFault(event)
            true
        }
    }

    private fun expectComplete(events: List<StreamEvent>) {
        expectThat(events.tokenNumbers()).isEqualTo((0 until TOKENS).toList())
        expectThat(events.last().data).isEqualTo("[DONE]")
    }

    private companion object {
        const val TOKENS = 80
        const val LONG_STREAM_TOKENS = 6_000
        const val EVENTS_BEFORE_FAULT = 10

        /** Far shorter than the whole stream takes, so that only a disconnect can end it in time. */
        val DISCONNECT_TIMEOUT = 20.seconds
    }
}
