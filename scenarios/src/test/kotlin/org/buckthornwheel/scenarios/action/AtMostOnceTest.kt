package org.buckthornwheel.scenarios.action

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.testing.Fault
import org.buckthornwheel.testing.awaitUntil
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class AtMostOnceTest {
    private val zone = ActionEstate()

    @BeforeAll
    fun start(): Unit = runBlocking { zone.start() }

    @AfterAll
    fun close(): Unit = zone.close()

    @Nested
    inner class `given that every host reaches the platform` {
        @Test
        fun `a key sent to two hosts at once takes effect once and both callers get the same answer`(): Unit =
            runBlocking {
                val answers = listOf(zone.one, zone.other).map { async { zone.act(it, "crossed") } }.awaitAll()
                expectThat(answers.map { it.outcome to it.body }.distinct()).hasSize(1)
                expectThat(answers.first().outcome).isEqualTo(Outcome.COMPLETED)
                expectThat(zone.effects("crossed")).hasSize(1)
            }

        @Test
        fun `a repeat with another body is refused`(): Unit = runBlocking {
            zone.act(zone.one, "reused")
            val answer = zone.act(zone.other, "reused", body = """{"line":"another"}""")
            expectThat(answer.status).isEqualTo(CONFLICT)
            expectThat(zone.effects("reused")).hasSize(1)
        }

        @Test
        fun `an action costs one call for its claim and one for its result`(): Unit = runBlocking {
            awaitUntil("results are recorded") { zone.metric(zone.one, ActionEstate.PENDING) == 0.0 }
            val before = zone.metric(zone.one, ActionEstate.PLATFORM_CALLS)
            repeat(ACTIONS) { zone.act(zone.one, "counted-$it") }
            awaitUntil("results are recorded") { zone.metric(zone.one, ActionEstate.PENDING) == 0.0 }
            val calls = zone.metric(zone.one, ActionEstate.PLATFORM_CALLS) - before
            expectThat(calls).isEqualTo(2.0 * ACTIONS)
        }
    }

    @Nested
    inner class `given that the platform's answers to one host are lost` {
        @Test
        fun `its claim is resolved and the action takes effect once`(): Unit = runBlocking {
            val link = zone.links.platformLink(zone.one)
            link.fault = Fault.RESPONSES_LOST
            link.closeConnections()
            val first = async { zone.act(zone.one, "lost-answer") }
            awaitUntil("the answer to the claim is lost") { link.bytesToTarget.get() > 0 }
            val answer = first.await()
            link.heal()
            link.closeConnections()
            val repeat = zone.act(zone.other, "lost-answer")
            expectThat(answer.outcome).isEqualTo(Outcome.COMPLETED)
            expectThat(repeat.body).isEqualTo(answer.body)
            expectThat(zone.effects("lost-answer")).hasSize(1)
        }
    }

    @Nested
    inner class `given that the platform is away` {
        @Test
        fun `an action runs once under the other host's promise and a repeat gets the first answer`(): Unit =
            withoutPlatform {
                val answer = zone.act(zone.one, "promised")
                val repeat = zone.act(zone.other, "promised")
                expectThat(answer.outcome).isEqualTo(Outcome.COMPLETED)
                expectThat(repeat.body).isEqualTo(answer.body)
                expectThat(zone.effects("promised")).hasSize(1)
                expectThat(zone.metric(zone.one, ActionEstate.PROMISED)).isEqualTo(1.0)
            }

        @Test
        fun `with the other host frozen nothing is run, and not-run is told to a first attempt alone`(): Unit =
            withoutPlatform {
                val frozen = zone.estate.process(zone.other.name)
                frozen.freeze()
                try {
                    expectThat(zone.act(zone.one, "frozen-first", attempt = 1).outcome).isEqualTo(Outcome.NOT_RUN)
                    expectThat(zone.act(zone.one, "frozen-repeat").outcome).isEqualTo(Outcome.UNKNOWN)
                } finally {
                    frozen.thaw()
                }
                expectThat(zone.effects("frozen-first") + zone.effects("frozen-repeat")).isEmpty()
            }
    }

    private fun withoutPlatform(block: suspend () -> Unit): Unit = runBlocking {
        zone.links.cutPlatform(zone.one.zone.name)
        try {
            block()
        } finally {
            zone.links.healPlatform(zone.one.zone.name)
        }
    }

    private companion object {
        const val CONFLICT = 409
        const val ACTIONS = 5
    }
}
