package org.buckthornwheel.scenarios.failure

import kotlinx.coroutines.runBlocking
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.testing.Caller
import org.buckthornwheel.testing.LocalEstate
import org.buckthornwheel.testing.Operator
import org.buckthornwheel.testing.ZoneLinks
import org.buckthornwheel.testing.awaitUntil
import org.buckthornwheel.testing.estateLayout
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class NetworkPartitionTest {
    @Nested
    inner class `given a region cut off from the others and from the platform` {
        @Test
        fun `its hosts continue to serve its callers from local targets`(): Unit = runBlocking {
            val layout = estateLayout()
            LocalEstate.of(layout).use { estate ->
                ZoneLinks(estate).use { links -> serveDuringPartition(estate, links) }
            }
        }
    }

    private suspend fun serveDuringPartition(estate: LocalEstate, links: ZoneLinks) {
        val south = estate.hosts.first()
        val north = estate.hosts.last()
        Operator().use { operator ->
            estate.startStandIns()
            estate.hosts.forEach(estate::startHost)
            awaitUntil("the southern host accepts a note") { operator.submit(south, estate.firstNote()).accepted }
            estate.hosts.forEach { host -> awaitUntil("${host.name} is ready") { operator.isReady(host) } }
            links.cut(south.zone.name, north.zone.name)
            links.cutPlatform(north.zone.name)
            awaitUntil("the northern host lists the southern host as gone") {
                operator.hosts(north).single { it.name == south.name }.state == "gone"
            }
        }
        Caller(estate.layout.accounts.first().token).use { caller ->
            val response = caller.complete(north.callers, "mooring", tokens = 5, stream = false)
            expectThat(response.outcome).isEqualTo(Outcome.COMPLETED)
            expectThat(response.target).isEqualTo("strait-north-a-engine-1")
        }
    }
}
