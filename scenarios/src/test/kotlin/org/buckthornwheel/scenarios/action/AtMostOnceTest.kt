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
        fun `a key sent to two hosts concurrently takes effect once and both callers get the same response`(): Unit =
            runBlocking {
                val responses = listOf(zone.firstHost, zone.secondHost)
                    .map { async { zone.sendAction(it, "crossed") } }
                    .awaitAll()
                expectThat(responses.map { it.outcome to it.body }.distinct()).hasSize(1)
                expectThat(responses.first().outcome).isEqualTo(Outcome.COMPLETED)
                expectThat(zone.effects("crossed")).hasSize(1)
            }

        @Test
        fun `a retry of a key with another body is rejected as a conflict`(): Unit = runBlocking {
            zone.sendAction(zone.firstHost, "reused")
            val response = zone.sendAction(zone.secondHost, "reused", body = """{"line":"another"}""")
            expectThat(response.status).isEqualTo(CONFLICT)
            expectThat(zone.effects("reused")).hasSize(1)
        }

        @Test
        fun `an action needs one platform call for its claim and one for its result`(): Unit = runBlocking {
            awaitUntil("results are recorded") { zone.metric(zone.firstHost, ActionEstate.PENDING_RESULTS) == 0.0 }
            val before = zone.metric(zone.firstHost, ActionEstate.PLATFORM_CALLS)
            repeat(ACTIONS) { zone.sendAction(zone.firstHost, "counted-$it") }
            awaitUntil("results are recorded") { zone.metric(zone.firstHost, ActionEstate.PENDING_RESULTS) == 0.0 }
            val calls = zone.metric(zone.firstHost, ActionEstate.PLATFORM_CALLS) - before
            expectThat(calls).isEqualTo(2.0 * ACTIONS)
        }
    }

    @Nested
    inner class `given that the platform's responses to one host are lost` {
        @Test
        fun `its claim is resolved and the action takes effect once`(): Unit = runBlocking {
            val link = zone.links.platformLink(zone.firstHost)
            link.fault = Fault.RESPONSES_LOST
            link.closeConnections()
            val first = async { zone.sendAction(zone.firstHost, "lost-answer") }
            awaitUntil("the response to the claim is lost") { link.bytesToTarget.get() > 0 }
            val response = first.await()
            link.heal()
            link.closeConnections()
            val retry = zone.sendAction(zone.secondHost, "lost-answer")
            expectThat(response.outcome).isEqualTo(Outcome.COMPLETED)
            expectThat(retry.body).isEqualTo(response.body)
            expectThat(zone.effects("lost-answer")).hasSize(1)
        }
    }

    @Nested
    inner class `given that the platform is unreachable` {
        @Test
        fun `an action runs once under the other host's promise and a retry gets the first response`(): Unit =
            withoutPlatform {
                val response = zone.sendAction(zone.firstHost, "promised")
                val retry = zone.sendAction(zone.secondHost, "promised")
                expectThat(response.outcome).isEqualTo(Outcome.COMPLETED)
                expectThat(retry.body).isEqualTo(response.body)
                expectThat(zone.effects("promised")).hasSize(1)
                expectThat(zone.metric(zone.firstHost, ActionEstate.PROMISED_RUNS)).isEqualTo(1.0)
            }

        @Test
        fun `with the other host frozen no action runs, and only a first attempt is reported as not-run`(): Unit =
            withoutPlatform {
                val frozen = zone.estate.process(zone.secondHost.name)
                frozen.freeze()
                try {
                    expectThat(zone.sendAction(zone.firstHost, "frozen-first", attempt = 1).outcome)
                        .isEqualTo(Outcome.NOT_RUN)
                    expectThat(zone.sendAction(zone.firstHost, "frozen-repeat").outcome).isEqualTo(Outcome.UNKNOWN)
                } finally {
                    frozen.thaw()
                }
                expectThat(zone.effects("frozen-first") + zone.effects("frozen-repeat")).isEmpty()
            }
    }

    private fun withoutPlatform(block: suspend () -> Unit): Unit = runBlocking {
        zone.links.cutPlatform(zone.firstHost.zone.name)
        try {
            block()
        } finally {
            zone.links.healPlatform(zone.firstHost.zone.name)
        }
    }

    private companion object {
        const val CONFLICT = 409
        const val ACTIONS = 5
    }
}
