package org.buckthornwheel.scenarios.request

import kotlinx.coroutines.runBlocking
import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.estate.ResidencyRuleItem
import org.buckthornwheel.testing.Caller
import org.buckthornwheel.testing.LocalEstate
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class ResidencyTest {
    private val rule = ResidencyRuleItem(AccountName("halvorsen"), listOf(RegionName("salish-south")))

    @Nested
    inner class `given an account restricted to its home region, where every target has failed` {
        @Test
        fun `its requests are rejected as not-run and none reaches another region`(): Unit = runBlocking {
            RequestEstate.twoZones(listOf(rule)).use { running ->
                val (homeEngine, remoteEngine) = running.estate.engines
                running.estate.process(homeEngine.name).kill()
                Caller(running.estate.layout.accounts.first().token).use { caller ->
                    running.estate.hosts.forEach { host ->
                        val streamed = caller.complete(host.callers, "log", tokens = 3, stream = true)
                        val nonStreamed = caller.complete(host.callers, "log", tokens = 3, stream = false)
                        expectThat(streamed.outcome).isEqualTo(Outcome.NOT_RUN)
                        expectThat(nonStreamed.outcome).isEqualTo(Outcome.NOT_RUN)
                    }
                }
                expectThat(running.caller.count(remoteEngine, "started")).isEqualTo(0)
            }
        }
    }

    @Nested
    inner class `given an account without a residency rule, whose home region has no target left` {
        @Test
        fun `its requests are served in another region after one hop`(): Unit = runBlocking {
            RequestEstate.twoZones(emptyList()).use { running ->
                running.estate.process(running.estate.engines.first().name).kill()
                Caller(running.estate.layout.accounts.first().token).use { caller ->
                    val host = running.estate.hosts.first().callers
                    val response = caller.complete(host, "log", tokens = 3, stream = false)
                    expectThat(response.outcome to response.hops).isEqualTo(Outcome.COMPLETED to 1)
                    expectThat(LocalEstate.MODEL.value in response.body).isEqualTo(true)
                }
            }
        }
    }
}
