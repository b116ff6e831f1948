package org.buckthornwheel.measurement.spread

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.HdrHistogram.Histogram
import org.buckthornwheel.api.NoteId
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.estate.RegionItem
import org.buckthornwheel.api.estate.ReleaseNote
import org.buckthornwheel.testing.LocalEstate
import org.buckthornwheel.testing.LocalHost
import org.buckthornwheel.testing.Operator
import org.buckthornwheel.testing.PATIENCE
import org.buckthornwheel.testing.awaitUntil
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Submits release notes to an estate of real processes and measures the time until every host has applied each. */
internal class NoteSpread(private val estate: LocalEstate) : AutoCloseable {
    private val operator = Operator()
    private var revision = Revision(0)

    /** Starts the processes and waits until every host has applied the first note. */
    suspend fun start() {
        estate.startStandIns()
        estate.hosts.forEach(estate::startHost)
        awaitUntil("the first note is accepted") { operator.submit(estate.hosts.first(), estate.firstNote()).accepted }
        revision = Revision(1)
        awaitUntil("every host is ready") { estate.hosts.all { operator.isReady(it) } }
        awaitUntil("every host knows the others") { estate.hosts.all { aliveHostsSeenBy(it) == estate.hosts.size } }
    }

    /** Submits as many notes as [notes] to the [receivers] in turn; returns the times in milliseconds. */
    suspend fun measure(notes: Int, receivers: List<LocalHost>): Histogram {
        val times = Histogram(PATIENCE.inWholeMilliseconds, SIGNIFICANT_DIGITS)
        repeat(notes) { number -> times.recordValue(submitAndWait(receivers[number % receivers.size])) }
        return times
    }

    override fun close(): Unit = operator.close()

    private suspend fun submitAndWait(receiver: LocalHost): Long {
        val next = revision.next()
        val verdict = operator.submit(receiver, noteOf(next))
        check(verdict.accepted) { "the note was rejected: ${verdict.findings}" }
        val start = TimeSource.Monotonic.markNow()
        coroutineScope { estate.hosts.map { async { awaitRevision(it, next) } }.awaitAll() }
        revision = next
        return start.elapsedNow().inWholeMilliseconds
    }

    private suspend fun awaitRevision(host: LocalHost, expected: Revision) {
        while (operator.revision(host) < expected) delay(POLL_INTERVAL)
    }

    private suspend fun aliveHostsSeenBy(host: LocalHost): Int = operator.hosts(host).count { it.state == "alive" }

    private fun noteOf(next: Revision): ReleaseNote = ReleaseNote(
        id = NoteId("spread-$next"),
        author = "bench",
        base = revision,
        added = listOf(RegionItem(RegionName("region-$next"))),
    )

    private companion object {
        const val SIGNIFICANT_DIGITS = 3
        val POLL_INTERVAL = 10.milliseconds
    }
}
