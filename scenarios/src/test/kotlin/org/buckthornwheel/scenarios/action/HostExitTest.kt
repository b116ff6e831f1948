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

class HostExitTest {
    @Nested
    inner class `given a host that exits` {
        @Test
        fun `killed during an action, its peer and the restarted host report unknown to a retry`(): Unit =
            runBlocking(Dispatchers.IO) {
                ActionEstate().use { zone ->
                    val service = zone.estate.services.single()
                    FaultProxy(service.address).use { proxy ->
                        zone.estate.addressOf = { if (it == service) proxy.address else it.address }
                        zone.start()
                        killDuringAction(zone, proxy)
                        expectThat(zone.sendAction(zone.secondHost, "killed").outcome).isEqualTo(Outcome.UNKNOWN)
                        restart(zone)
                        expectThat(zone.sendAction(zone.firstHost, "killed").outcome).isEqualTo(Outcome.UNKNOWN)
                        expectThat(zone.effects("killed")).hasSize(1)
                    }
                }
            }

        @Test
        fun `stopped cleanly after the platform recovered, its peer returns the result of its promised run`(): Unit =
            runBlocking(Dispatchers.IO) {
                ActionEstate().use { zone ->
                    zone.start()
                    zone.links.cutPlatform(zone.firstHost.zone.name)
                    val response = zone.sendAction(zone.firstHost, "handed-over")
                    zone.links.healPlatform(zone.firstHost.zone.name)
                    zone.estate.process(zone.firstHost.name).terminate()
                    awaitUntil("the host has exited") { !zone.estate.process(zone.firstHost.name).isAlive }
                    val retry = zone.sendAction(zone.secondHost, "handed-over")
                    expectThat(response.outcome).isEqualTo(Outcome.COMPLETED)
                    expectThat(retry.body).isEqualTo(response.body)
                    expectThat(zone.effects("handed-over")).hasSize(1)
                }
            }
    }

    private suspend fun killDuringAction(zone: ActionEstate, proxy: FaultProxy): Unit = coroutineScope {
        proxy.fault = Fault.RESPONSES_LOST
        val pendingCall = async {
            try {
                zone.sendAction(zone.firstHost, "killed")
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (_: Exception) {
                null
            }
        }
        awaitUntil("the action has taken effect") { zone.effects("killed").isNotEmpty() }
        zone.estate.process(zone.firstHost.name).kill()
        pendingCall.await()
        proxy.heal()
        proxy.closeConnections()
    }

    private suspend fun restart(zone: ActionEstate) {
        zone.estate.startHost(zone.firstHost)
        awaitUntil("the host is registered again") { zone.metric(zone.firstHost, ActionEstate.REGISTERED) == 1.0 }
        awaitUntil("the host runs actions again") {
            zone.sendAction(zone.firstHost, "after-restart").status == ActionEstate.OK
        }
    }
}
