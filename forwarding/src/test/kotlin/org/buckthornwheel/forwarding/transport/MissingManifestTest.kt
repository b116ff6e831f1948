package org.buckthornwheel.forwarding.transport

import org.buckthornwheel.forwarding.fixture.RunningHost
import org.buckthornwheel.forwarding.fixture.TestManifest
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.buckthornwheel.forwarding.membership.EstateRevision
import org.buckthornwheel.forwarding.membership.EstateSync
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import kotlin.time.Duration.Companion.minutes

/** Two hosts, of which `north` has a newer manifest in force than `south`. */
internal class MissingManifestTest {
    private val north = RunningHost("north-1", "north", revocationBound = 1.minutes)
    private val south =
        RunningHost("south-1", "south", listOf(north.self.peerAddress), revocationBound = 1.minutes).also {
            it.process.routingState.updateManifest(manifest(2))
            it.process.currency.readSent().applied()
        }

    @AfterEach
    fun close() {
        north.close()
        south.close()
    }

    private fun manifest(version: Long) = TestManifest.of(version).copy(requiresAccounts = true)

    private fun letNorthKnow(revision: EstateRevision) {
        north.process.estate = EstateAt(revision)
        north.process.routingState.updateManifest(manifest(3))
    }

    // The host went on accepting keys that the newer manifest had removed.
    @Test
    fun `a host that has read the store as far as one with a newer manifest accepts no keys without it`() {
        south.process.estate = EstateAt(EstateRevision(era = 4, number = 8))
        expectThat(south.process.currency.refusesAccounts).isFalse()
        letNorthKnow(EstateRevision(era = 3, number = 20))
        awaitUntil { south.process.currency.refusesAccounts }
        south.process.routingState.updateManifest(manifest(3))
        expectThat(south.process.currency.refusesAccounts).isFalse()
    }

    @Test
    fun `a host whose reading of the store is only behind goes on accepting keys`() {
        south.process.estate = EstateAt(EstateRevision(era = 4, number = 8))
        letNorthKnow(EstateRevision(era = 4, number = 9))
        awaitUntil { south.process.hosts.find(north.self.name) != null }
        awaitUntil { north.process.hosts.find(south.self.name) != null }
        Thread.sleep(HEARTBEATS_MILLISECONDS)
        expectThat(south.process.currency.refusesAccounts).isFalse()
    }

    private class EstateAt(override val revision: EstateRevision) : EstateSync {
        override fun changesAfter(revision: EstateRevision): String? = null

        override fun applyChanges(changes: String): Unit = Unit
    }

    private companion object {
        /** Several heartbeats. */
        const val HEARTBEATS_MILLISECONDS = 1_500L
    }
}
