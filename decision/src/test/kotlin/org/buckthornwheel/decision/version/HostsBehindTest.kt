package org.buckthornwheel.decision.version

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.RequestId
import org.buckthornwheel.decision.replica.SoftwareVersion
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Streams that begin at one host and are taken up at another one that knows other shares. */
internal class HostsBehindTest {
    private val start = MonotonicInstant(0)
    private val first = ServiceVersions()
    private val second = ServiceVersions()

    /**
     * How many streams began at the version of [begunAt] and would go on at another one by [versions] at [now].
     *
     * @param isInTouch whether the host believes that it knows all changes.
     */
    private fun joined(
        begunAt: (RequestId) -> SoftwareVersion?,
        versions: ServiceVersions,
        age: Duration,
        now: MonotonicInstant,
        isInTouch: Boolean = true,
    ): Int {
        if (isInTouch) versions.recordCurrent(now)
        return STREAMS.count { stream ->
            val found = versions.ofBegunStream(stream, emptySet(), StreamAge(RELEVANCE, age), now)
            found is BegunStream.At && found.version != begunAt(stream)
        }
    }

    // A host that learned of a change 100 ms after another one joined the streams that had begun there meanwhile.
    @Test
    fun `a stream does not go on at another version at a host that has not learned of a change yet`() {
        val before = VersionHistory(1, listOf(OLD))
        for (host in listOf(first, second)) host.applyStored(before, start)
        val changedAt = start + 20.seconds
        first.applyStored(before.with(BOTH), changedAt)
        val begunAt = STREAMS.associateWith { first.ofNewStream(it, emptySet(), changedAt) }
        val now = changedAt + 100.milliseconds
        expectThat(joined(begunAt::get, second, 600.milliseconds, now)).isEqualTo(0)
    }

    // A host that was cut off while the versions changed joined the streams that callers took up there.
    @Test
    fun `a stream does not go on at another version at a host that has been cut off for seconds`() {
        val before = VersionHistory(1, listOf(OLD))
        for (host in listOf(first, second)) host.applyStored(before, start)
        first.applyStored(before.with(BOTH), start + 20.seconds)
        val now = start + 25.seconds
        val begunAt = STREAMS.associateWith { first.ofNewStream(it, emptySet(), now) }
        expectThat(joined(begunAt::get, second, 600.milliseconds, now, isInTouch = false)).isEqualTo(0)
    }

    @Test
    fun `streams begin by new shares once all hosts know them, or had time to learn of them`() {
        for (host in listOf(first, second)) host.applyStored(VersionHistory(1, listOf(OLD)), start)
        val changedAt = start + 20.seconds
        for (host in listOf(first, second)) host.applyStored(VersionHistory(2, listOf(OLD, BOTH)), changedAt)
        first.recordKnownEverywhere(2, changedAt)
        expectThat(first.newStreamsOfLatest(changedAt)).isEqualTo(500)
        expectThat(second.newStreamsOfLatest(changedAt)).isEqualTo(0)
        expectThat(second.newStreamsOfLatest(changedAt + 1.seconds)).isEqualTo(500)
    }

    private fun ServiceVersions.newStreamsOfLatest(now: MonotonicInstant): Int =
        STREAMS.count { ofNewStream(it, emptySet(), now) == SoftwareVersion("v2") }

    // A stream that began by former shares, at a host that learned last that all knew the new ones, was joined.
    @Test
    fun `a stream that began by former shares just after all hosts knew the new ones does not go on elsewhere`() {
        for (host in listOf(first, second)) host.applyStored(VersionHistory(1, listOf(BOTH)), start)
        val changedAt = start + 20.seconds
        for (host in listOf(first, second)) host.applyStored(VersionHistory(2, listOf(BOTH, OLD)), changedAt)
        first.recordKnownEverywhere(2, changedAt)
        val begunAt = STREAMS.associateWith { second.ofNewStream(it, emptySet(), changedAt + 300.milliseconds) }
        expectThat(joined(begunAt::get, first, 600.milliseconds, changedAt + 800.milliseconds)).isEqualTo(0)
    }

    // A host that missed that a version had come back joined the streams that had begun by it meanwhile.
    @Test
    fun `a stream that began while a version was back does not go on at another one at a host that missed it`() {
        first.applyStored(VersionHistory(2, listOf(OLD, BOTH)), start)
        first.recordKnownEverywhere(2, start + 1.seconds)
        val isBack = VersionHistory(3, listOf(BOTH, OLD))
        second.applyStored(isBack, start + 15.seconds)
        val begunAt = STREAMS.associateWith { second.ofNewStream(it, emptySet(), start + 15.seconds) }
        first.applyStored(isBack.with(BOTH), start + 16.seconds)
        expectThat(joined(begunAt::get, first, 1_500.milliseconds, start + 16.seconds)).isEqualTo(0)
    }

    // Once a store had returned from a copy, hosts knew shares of the same time that contradict each other.
    @Test
    fun `a stream that began by an older record after a return of the store does not go on at another version`() {
        first.applyStored(VersionHistory(5, listOf(OLD)), start)
        val returned = VersionHistory(2, listOf(OLD))
        second.applyStored(returned, start + 1.seconds)
        val recorded = returned.with(BOTH)
        for (host in listOf(first, second)) host.applyStored(recorded, start + 20.seconds)
        val now = start + 21.seconds
        val begunAt = STREAMS.associateWith { second.ofNewStream(it, emptySet(), now) }
        expectThat(joined(begunAt::get, first, 600.milliseconds, now)).isEqualTo(0)
    }

    // A host that started after a later record had been written again did not know the shares of the one in between.
    @Test
    fun `a stream that began by an older record after a return of the store does not go on at a host that starts`() {
        first.applyStored(VersionHistory(5, listOf(OLD)), start)
        val recorded = VersionHistory(3, listOf(OLD, BOTH))
        second.applyStored(recorded, start + 1.seconds)
        first.applyStored(recorded, start + 1.seconds)
        val now = start + 2.seconds
        val begunAt = STREAMS.associateWith { second.ofNewStream(it, emptySet(), now) }
        val third = ServiceVersions()
        third.applyStored(first.successor(OLD, RELEVANCE, now) ?: first.current, now)
        expectThat(joined(begunAt::get, third, 600.milliseconds, now)).isEqualTo(0)
    }

    private companion object {
        val RELEVANCE = 10.seconds
        val STREAMS = List(1_000) { RequestId("request-$it") }
        val OLD = shares("v1" to 4)
        val BOTH = shares("v1" to 4, "v2" to 4)

        fun shares(vararg counts: Pair<String, Int>) = VersionShares(
            counts.associate { (version, count) -> SoftwareVersion(version) to mapOf(RegionName("north") to count) },
        )
    }
}
