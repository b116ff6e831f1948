package org.buckthornwheel.scenarios.configuration

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import org.buckthornwheel.api.ModelName
import org.buckthornwheel.api.NoteId
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.estate.ModelItem
import org.buckthornwheel.api.estate.ReleaseNote
import org.buckthornwheel.protocol.administration.NoteVerdict
import org.buckthornwheel.testing.Fault
import org.buckthornwheel.testing.LocalEstate
import org.buckthornwheel.testing.LocalHost
import org.buckthornwheel.testing.Operator
import org.buckthornwheel.testing.ZoneLinks
import org.buckthornwheel.testing.awaitUntil
import org.buckthornwheel.testing.estateLayout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

class NotePropagationTest {
    private val estate = LocalEstate.of(
        estateLayout {
            zone("salish-south-a", "salish-south", hosts = 2, services = 0)
            zone("strait-north-a", "strait-north", hosts = 1, services = 0)
        },
    )
    private val links = ZoneLinks(estate)
    private val operator = Operator()
    private val south = estate.hosts[0]
    private val secondSouth = estate.hosts[1]
    private val north = estate.hosts[2]

    @BeforeEach
    fun start(): Unit = runBlocking {
        estate.startPlatform()
        listOf(south, north).forEach(estate::startHost)
        awaitUntil("the southern host accepts a note") { operator.submit(south, estate.firstNote()).accepted }
        awaitRevision(1, south, north)
    }

    @AfterEach
    fun close() {
        operator.close()
        estate.close()
        links.close()
    }

    @Nested
    inner class `given a zone that cannot reach the platform` {
        @Test
        fun `it gets new notes from its peers`(): Unit = runBlocking {
            awaitUntil("the northern host lists the southern host") {
                operator.hosts(north).any { it.name == south.name }
            }
            links.cutPlatform(north.zone.name)
            expectThat(operator.submit(south, note("second", "added-later")).accepted).isEqualTo(true)
            awaitRevision(2, north)
        }
    }

    @Nested
    inner class `given a platform that is down` {
        @Test
        fun `a starting host gets the estate from its peers`(): Unit = runBlocking {
            estate.process("platform").kill()
            estate.startHost(secondSouth)
            awaitRevision(1, secondSouth)
            expectThat(operator.estate(secondSouth).items.toSet()).isEqualTo(operator.estate(south).items.toSet())
        }
    }

    @Nested
    inner class `given two operators who submit notes at two hosts at the same time` {
        @Test
        fun `disjoint notes are both accepted, and one of two conflicting notes is rejected, naming the item`(): Unit =
            runBlocking {
                val disjoint = submitBoth(note("east", "one"), note("west", "two"))
                expectThat(disjoint.map { it.accepted }).isEqualTo(listOf(true, true))
                awaitRevision(3, south, north)
                val conflicting = submitBoth(note("left", "same"), note("right", "same"))
                expectThat(conflicting.count { it.accepted }).isEqualTo(1)
                expectThat(conflicting.single { !it.accepted }.findings.joinToString()).contains("model same")
                awaitRevision(4, south, north)
                expectThat(operator.estate(south).items.toSet()).isEqualTo(operator.estate(north).items.toSet())
            }
    }

    @Nested
    inner class `given a write whose response from the platform was lost` {
        @Test
        fun `the same note submitted again is applied once`(): Unit = runBlocking {
            links.platformLink(south).fault = Fault.RESPONSES_LOST
            val unconfirmed = note("lost", "kept")
            expectThat(runCatching { operator.submit(south, unconfirmed).accepted }.getOrDefault(false)).isFalse()
            links.platformLink(south).heal()
            awaitUntil("the note is accepted") { operator.submit(south, unconfirmed).accepted }
            val resubmitted = operator.submit(north, unconfirmed)
            expectThat(resubmitted.accepted).isEqualTo(true)
            awaitRevision(2, south, north)
            expectThat(operator.revision(south)).isEqualTo(Revision(2))
        }
    }

    @Nested
    inner class `given a host that is frozen while notes are accepted` {
        @Test
        fun `it catches up when resumed and its revision never decreases`(): Unit = runBlocking {
            estate.process(north.name).freeze()
            operator.submit(south, note("second", "one"))
            operator.submit(south, note("third", "two"))
            estate.process(north.name).thaw()
            var seen = Revision.NONE
            awaitUntil("the northern host has caught up") {
                val now = operator.revision(north)
                check(now >= seen)
                seen = now
                now == Revision(3)
            }
        }
    }

    private suspend fun submitBoth(first: ReleaseNote, second: ReleaseNote): List<NoteVerdict> = coroutineScope {
        listOf(south to first, north to second).map { (host, note) -> async { operator.submit(host, note) } }.awaitAll()
    }

    private suspend fun awaitRevision(number: Long, vararg hosts: LocalHost) = hosts.forEach { host ->
        awaitUntil("${host.name} has revision $number") { operator.revision(host) == Revision(number) }
    }

    private suspend fun note(id: String, model: String): ReleaseNote = ReleaseNote(
        id = NoteId(id),
        author = "operator",
        base = operator.revision(south),
        added = listOf(ModelItem(ModelName(model), "1")),
    )
}
