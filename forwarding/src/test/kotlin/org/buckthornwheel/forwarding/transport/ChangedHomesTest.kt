/*
 * Requests that are in progress when another manifest changes the home regions of their route.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.forwarding.fixture.RecordedRequest
import org.buckthornwheel.forwarding.fixture.ReplicaConnection
import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.TestManifest
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.buckthornwheel.forwarding.fixture.chunk
import org.buckthornwheel.forwarding.fixture.chunkedHead
import org.buckthornwheel.forwarding.fixture.event
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.buckthornwheel.forwarding.host.WaitingOrder
import org.buckthornwheel.forwarding.host.WaitingSettings
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

internal class ChangedHomesTest {
    private val north = RunningHost("north-1", "north", knowsManifest = false)
    private val replicas = ArrayList<ScriptedReplica>()

    @AfterEach
    fun close() {
        replicas.forEach { it.close() }
        north.close()
    }

    private fun RunningHost.setHomes(version: Long, region: String) {
        val homes = setOf(RegionName(region))
        process.routingState.updateManifest(TestManifest.of(version = version, homeRegions = homes))
    }

    private fun replica(respond: ReplicaConnection.(RecordedRequest) -> Unit = { send(signedResponse(it, "answer")) }) =
        ScriptedReplica(respond = respond).also { replicas += it }

    // Guards against the homes that the route had when the request arrived.
    @Nested
    inner class `given a request that was accepted while the homes were this region` {
        @Test
        fun `a retry does not go to a replica outside the homes in force`() {
            north.setHomes(version = 1, "north")
            lateinit var other: ScriptedReplica
            north.add(
                "n1",
                replica {
                    other = replica().also { north.add("n2", it) }
                    north.setHomes(version = 2, "south")
                    close()
                },
            )
            north.caller().use { caller ->
                caller.request("GET", "/read/x", "q1")
                expectThat(caller.readResponse()).isNotNull().get { status }.isEqualTo(502)
            }
            expectThat(other.requests.size).isEqualTo(0)
        }

        @Test
        fun `a broken stream is not resumed outside the homes in force`() {
            north.setHomes(version = 1, "north")
            lateinit var other: ScriptedReplica
            north.add(
                "n1",
                replica { request ->
                    send(chunkedHead(request) + chunk(event(1)))
                    other = replica().also { north.add("n2", it) }
                    north.setHomes(version = 2, "south")
                    close()
                },
            )
            north.caller().use { caller ->
                caller.request("GET", "/stream/x", "q1")
                expectThat(caller.readResponse()).isNotNull().get { isComplete }.isEqualTo(false)
            }
            expectThat(other.requests.size).isEqualTo(0)
        }

        @Test
        fun `a request that waited is not sent outside the homes in force`() {
            north.setHomes(version = 1, "north")
            val late = replica()
            north.add("s1", replica(), region = "south")
            north.caller().use { caller ->
                caller.request("POST", "/patient/x", "q1", "question")
                Thread.sleep(WAIT_MILLISECONDS)
                north.setHomes(version = 2, "south")
                north.add("n1", late)
                expectThat(caller.readResponse()).isNotNull().get { status }.isEqualTo(503)
            }
            expectThat(late.requests.size).isEqualTo(0)
        }
    }

    @Nested
    inner class `given a request that waits in order while the homes are this region` {
        private val ordered =
            RunningHost("north-2", "north", knowsManifest = false, waiting = WaitingSettings(WaitingOrder.ORDERED))
        private val south = RunningHost("south-1", "south", listOf(ordered.self.peerAddress), knowsManifest = false)

        @AfterEach
        fun close() {
            ordered.close()
            south.close()
        }

        private val outside = replica()
        private val atHome = replica()

        /** Changes the homes to the southern region while a request waits; the southern host learns [southern]. */
        private fun changeHomes(southern: RunningHost.() -> Unit) {
            ordered.setHomes(version = 1, "north")
            ordered.caller().use { caller ->
                caller.request("POST", "/patient/x", "q1", "question")
                Thread.sleep(WAIT_MILLISECONDS)
                ordered.setHomes(version = 2, "south")
                south.southern()
                listOf(ordered, south).forEach { host ->
                    host.add("n1", outside)
                    host.add("s1", atHome, region = "south")
                }
                expectThat(caller.readResponse()).isNotNull().get { status }.isEqualTo(200)
            }
            expectThat(outside.requests.size).isEqualTo(0)
            expectThat(atHome.requests.size).isEqualTo(1)
        }

        // Guards against a place in the queue of the homes that the route had when the request arrived.
        @Test
        fun `it is served at a home in force`(): Unit = changeHomes { setHomes(version = 2, "south") }

        // Guards against an envelope with homes that are no longer in force.
        @Test
        fun `a host that knows only the older manifest serves it, too`(): Unit =
            changeHomes { setHomes(version = 1, "north") }
    }

    // Guards against the homes in the envelope of a forwarded request if the receiving host knows a newer manifest.
    @Test
    fun `a host does not serve a forwarded request that its own manifest does not permit in its region`() {
        val south = RunningHost("south-1", "south", listOf(north.self.peerAddress), knowsManifest = false)
        south.use {
            north.setHomes(version = 1, "south")
            south.setHomes(version = 2, "north")
            val outside = replica()
            val atHome = replica()
            listOf(north, south).forEach { it.add("s1", outside, region = "south") }
            awaitUntil { north.process.hosts.ready(MonotonicClock.SYSTEM.now()).isNotEmpty() }
            north.caller().use { caller ->
                caller.request("POST", "/patient/x", "q1", "question")
                Thread.sleep(WAIT_MILLISECONDS)
                north.setHomes(version = 2, "north")
                north.add("n1", atHome)
                expectThat(caller.readResponse()).isNotNull().get { status }.isEqualTo(200)
            }
            expectThat(outside.requests.size).isEqualTo(0)
        }
    }

    private companion object {
        const val WAIT_MILLISECONDS = 100L
    }
}
