/*
 * A second copy of a response that arrives late, on a connection that is in use again.
 *
 * Without a check the next caller gets a response that belongs to another request. The copy may arrive before, while
 * and after the next request is written, and in several segments.
 */

package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.forwarding.fixture.HostWithReplicas
import org.buckthornwheel.forwarding.fixture.RecordedRequest
import org.buckthornwheel.forwarding.fixture.ReplicaConnection
import org.buckthornwheel.forwarding.fixture.ScriptedReplica
import org.buckthornwheel.forwarding.fixture.signedResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

internal class LateResponseTest {
    private val setup = HostWithReplicas()

    @AfterEach
    fun close() = setup.close()

    /** Serves each connection's first request with [first], and its later ones with [later]. */
    private fun replica(
        first: ReplicaConnection.(RecordedRequest) -> Unit,
        later: ReplicaConnection.(RecordedRequest) -> Unit,
    ): ScriptedReplica {
        val used = HashSet<ReplicaConnection>()
        return setup.replica { request -> if (used.add(this)) first(request) else later(request) }
    }

    private fun bodies(pauseMilliseconds: Long = 0): List<String?> = (1..2).map { number ->
        Thread.sleep(pauseMilliseconds)
        setup.sendRequest("/act/x", id = "q$number")?.body
    }

    @Nested
    inner class `given a copy without an id` {
        private val start = "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Le"
        private val rest = "ngth: 5\r\n\r\nother"

        @Test
        fun `its first segment in the same read as the response does not reach the next caller`() {
            replica(
                first = { send(signedResponse(it, "mine") + start) },
                later = { send(rest + signedResponse(it, "mine")) },
            )
            expectThat(bodies()).isEqualTo(listOf("mine", "mine"))
        }

        @Test
        fun `its first segment on an idle connection does not reach the next caller`() {
            replica(
                first = { request ->
                    send(signedResponse(request, "mine"))
                    Thread.sleep(100)
                    send(start)
                },
                later = { send(rest + signedResponse(it, "mine")) },
            )
            expectThat(bodies(pauseMilliseconds = 300)).isEqualTo(listOf("mine", "mine"))
        }

        @Test
        fun `after the next request was written, it does not reach the next caller`() {
            replica(
                first = { send(signedResponse(it, "mine")) },
                later = { send(start + rest + signedResponse(it, "mine")) },
            )
            setup.sendRequest("/act/x", id = "q1")
            expectThat(setup.sendRequest("/act/x", id = "q2")?.status).isEqualTo(502)
        }
    }

    @Nested
    inner class `given a copy with the id of the earlier request` {
        private val copy = "HTTP/1.1 200 OK\r\nId: q1\r\nSignature: s\r\nContent-Length: 5\r\n\r\nother"

        @Test
        fun `whole on an idle connection, the next request uses another connection`() {
            val replica = replica(
                first = { request ->
                    send(signedResponse(request, "mine"))
                    Thread.sleep(100)
                    if (request.header("Id") == "q1") send(copy)
                },
                later = { send(signedResponse(it, "mine")) },
            )
            expectThat(bodies(pauseMilliseconds = 300)).isEqualTo(listOf("mine", "mine"))
            expectThat(replica.connections.get()).isEqualTo(2)
        }

        @Test
        fun `after the next request was written, the response to that request is relayed`() {
            replica(
                first = { send(signedResponse(it, "mine")) },
                later = { send(copy + signedResponse(it, "mine")) },
            )
            expectThat(bodies()).isEqualTo(listOf("mine", "mine"))
        }

        @Test
        fun `from a host of another region, the response to the next request is relayed`() {
            val peer = ScriptedReplica { send(copy + signedResponse(it, "mine")) }
            setup.host.add("s1", peer, region = "south")
            val profile = setup.host.self.copy(
                name = HostName("south-1"),
                incarnation = Incarnation(1),
                zone = ZoneName("south-a"),
                region = RegionName("south"),
                peerAddress = peer.address,
            )
            setup.host.process.hosts.recordHeartbeat(profile, isReady = true, 1.seconds, MonotonicClock.SYSTEM.now())
            expectThat(setup.sendRequest("/act/x", id = "q2")?.body).isEqualTo("mine")
            peer.close()
        }
    }
}
