package org.buckthornwheel.scenarios.request

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.isEqualTo

class CrossedAnswerTest {
    @Nested
    inner class `given an engine whose next response belongs to another request` {
        @Test
        fun `it is dropped and counted, and every caller gets the complete response to its own request`(): Unit =
            runBlocking {
                RequestEstate.oneZone(engines = 3).use { running ->
                    val host = running.estate.hosts.first()
                    running.caller.cross(running.estate.engines.first())
                    val responses = (1..30).map { number ->
                        async { number to running.caller.stream(host.callers, "prompt-$number", TOKENS) }
                    }.awaitAll()
                    responses.forEach { (number, events) ->
                        expectThat(events.tokenNumbers()).isEqualTo((0 until TOKENS).toList())
                        expectThat(events.dropLast(1)).all { get { data }.contains("\"prompt-$number:") }
                    }
                    val metrics = running.operator.get(host, "/metrics")
                    expectThat(metrics).contains("buckthornwheel_answers_crossed_total 1.0")
                }
            }
    }

    private companion object {
        const val TOKENS = 12
    }
}
