package org.buckthornwheel.scenarios.action

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.testing.Fault
import org.buckthornwheel.testing.FaultProxy
import org.buckthornwheel.testing.awaitUntil
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo

class EndedHostTest {
    @Nested
    inner class `given a host that ends` {
        @Test
        fun `killed in mid-run its action is unknown to a repeat, at its peer and after its restart`(): Unit =
            runBlocking(Dispatchers.IO) {
                ActionEstate().use { zone ->
                    val service = zone.estate.services.single()
                    FaultProxy(service.address).use { proxy ->
                        zone.estate.addressOf = { if (it == service) proxy.address else it.address }
                        zone.start()
                        killInMidRun(zone, proxy)
                        expectThat(zone.act(zone.other, "killed").outcome).isEqualTo(Outcome.UNKNOWN)
                        restart(zone)
                        expectThat(zone.act(zone.one, "killed").outcome).isEqualTo(Outcome.UNKNOWN)
                        expectThat(zone.effects("killed")).hasSize(1)
                    }
                }
            }

        @Test
        fun `stopped cleanly while the platform is back its promised run is known to its peer`(): Unit =
            runBlocking(Dispatchers.IO) {
                ActionEstate().use { zone ->
                    zone.start()
                    zone.links.cutPlatform(zone.one.zone.name)
                    val answer = zone.act(zone.one, "handed-over")
                    zone.links.healPlatform(zone.one.zone.name)
                    zone.estate.process(zone.one.name).terminate()
                    awaitUntil("the host has ended") { !zone.estate.process(zone.one.name).isAlive }
                    val repeat = zone.act(zone.other, "handed-over")
                    expectThat(answer.outcome).isEqualTo(Outcome.COMPLETED)
                    expectThat(repeat.body).isEqualTo(answer.body)
                    expectThat(zone.effects("handed-over")).hasSize(1)
                }
            }
    }

    private suspend fun killInMidRun(zone: ActionEstate, proxy: FaultProxy): Unit = coroutineScope {
        proxy.fault = Fault.RESPONSES_LOST
        val lost = async {
            try {
                zone.act(zone.one, "killed")
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (_: Exception) {
                null
            }
        }
        awaitUntil("the action has taken effect") { zone.effects("killed").isNotEmpty() }
        zone.estate.process(zone.one.name).kill()
        lost.await()
        proxy.heal()
        proxy.closeConnections()
    }

    private suspend fun restart(zone: ActionEstate) {
        zone.estate.startHost(zone.one)
        awaitUntil("the host is registered again") { zone.metric(zone.one, ActionEstate.REGISTERED) == 1.0 }
        awaitUntil("the host acts again") { zone.act(zone.one, "after-restart").status == ActionEstate.OK }
    }
}
