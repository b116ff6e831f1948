package org.buckthornwheel.decision.version

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.RequestId
import org.buckthornwheel.decision.replica.SoftwareVersion
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isIn
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class ServiceVersionsTest {
    private val start = MonotonicInstant(0)
    private val versions = ServiceVersions()

    private fun shares(vararg counts: Pair<String, Int>) = VersionShares(
        counts.associate { (version, count) -> SoftwareVersion(version) to mapOf(RegionName("north") to count) },
    )

    /** Where the stream goes on at a host that is in touch. */
    private fun begun(stream: RequestId?, at: MonotonicInstant, age: Duration? = null): BegunStream {
        versions.recordCurrent(at)
        return versions.ofBegunStream(stream, emptySet(), StreamAge(RELEVANCE, age), at)
    }

    @Nested
    inner class `given a host that has just started` {
        @Test
        fun `a stream goes on at the version that the recorded shares give it`() {
            val recorded = VersionHistory(3, listOf(shares("v1" to 2, "v2" to 6)))
            versions.applyStored(recorded, start)
            expectThat(STREAMS).all {
                get { begun(this, start) }.isEqualTo(BegunStream.At(recorded.inForce.versionOf(subject, emptySet())!!))
            }
        }

        // Streams that began before a change went on at the version that the shares after it gave them.
        @Test
        fun `a stream that a change of the shares moves must not go on`() {
            val before = shares("v1" to 8)
            val after = shares("v1" to 4, "v2" to 4)
            versions.applyStored(VersionHistory(4, listOf(before, after)), start)
            val (moved, kept) = STREAMS.partition { after.versionOf(it, emptySet()) == SoftwareVersion("v2") }
            expectThat(moved.size).isIn(400..600)
            expectThat(moved).all { get { begun(this, start + 60.seconds) }.isEqualTo(BegunStream.Unknown) }
            expectThat(kept).all {
                get { begun(this, start) }.isEqualTo(BegunStream.At(SoftwareVersion("v1")))
            }
        }

        @Test
        fun `a stream whose beginning is not named goes on only if a single version has served`() {
            versions.applyStored(VersionHistory(1, listOf(shares("v1" to 8))), start)
            expectThat(begun(null, start)).isEqualTo(BegunStream.At(SoftwareVersion("v1")))
            versions.applyStored(VersionHistory(2, listOf(shares("v1" to 8, "v2" to 2))), start)
            expectThat(begun(null, start)).isEqualTo(BegunStream.Unknown)
        }
    }

    @Nested
    inner class `given a host that learned of a change late` {
        @Test
        fun `the shares by which it began streams until then count from that moment`() {
            versions.applyStored(VersionHistory(1, listOf(shares("v1" to 8))), start)
            versions.applyStored(VersionHistory(5, listOf(shares("v2" to 8))), start + 100.seconds)
            expectThat(begun(STREAMS.first(), start + 105.seconds)).isEqualTo(BegunStream.Unknown)
            expectThat(begun(STREAMS.first(), start + 111.seconds)).isEqualTo(BegunStream.At(SoftwareVersion("v2")))
        }

        // After a rollout, all streams that a lost host had in progress were refused for ten seconds.
        @Test
        fun `a stream that began after every host had learned of the change goes on at once`() {
            versions.applyStored(VersionHistory(1, listOf(shares("v1" to 8))), start)
            versions.applyStored(VersionHistory(2, listOf(shares("v1" to 8), shares("v2" to 8))), start)
            versions.recordKnownEverywhere(2, start + 1.seconds)
            expectThat(begun(STREAMS.first(), start + 2.seconds)).isEqualTo(BegunStream.Unknown)
            expectThat(begun(STREAMS.first(), start + 2.seconds, 1_500.milliseconds)).isEqualTo(BegunStream.Unknown)
            expectThat(begun(STREAMS.first(), start + 2.seconds, 500.milliseconds))
                .isEqualTo(BegunStream.At(SoftwareVersion("v2")))
        }

        @Test
        fun `an older record, such as that of a store that was restored, is not applied and written again`() {
            val latest = VersionHistory(5, listOf(shares("v2" to 8)))
            versions.applyStored(latest, start)
            expectThat(versions.isStored).isTrue()
            versions.applyStored(VersionHistory(2, listOf(shares("v1" to 8))), start)
            expectThat(versions.current).isEqualTo(latest)
            expectThat(versions.isStored).isFalse()
        }
    }

    @Nested
    inner class `given a version that has left before the shares have changed` {
        private val both = shares("v1" to 4, "v2" to 4)

        private fun begin(at: MonotonicInstant) =
            STREAMS.groupingBy { versions.ofNewStream(it, emptySet(), at)?.value }.eachCount()

        // New streams of a version that had left found no place until the store held other shares.
        @Test
        fun `its share of the new streams begins at the others, once other hosts have noticed too`() {
            versions.applyStored(VersionHistory(1, listOf(both)), start)
            versions.recordServed(setOf(SoftwareVersion("v2")), start)
            expectThat(begin(start + 100.milliseconds)).isEqualTo(both.versionsOfAll())
            expectThat(begin(start + 500.milliseconds)).isEqualTo(mapOf("v2" to STREAMS.size))
        }

        @Test
        fun `streams that may have begun elsewhere meanwhile do not go on at it when it is back`() {
            versions.applyStored(VersionHistory(1, listOf(both)), start)
            versions.recordServed(setOf(SoftwareVersion("v2")), start + 1.seconds)
            versions.recordServed(setOf(SoftwareVersion("v1"), SoftwareVersion("v2")), start + 2.seconds)
            val first = STREAMS.first { both.versionOf(it, emptySet()) == SoftwareVersion("v1") }
            expectThat(begun(first, start + 3.seconds)).isEqualTo(BegunStream.Unknown)
            expectThat(begun(first, start + 3.seconds, 500.milliseconds))
                .isEqualTo(BegunStream.At(SoftwareVersion("v1")))
        }

        private fun VersionShares.versionsOfAll() = STREAMS.groupingBy { versionOf(it, emptySet())?.value }.eachCount()
    }

    @Nested
    inner class `given shares that no longer suit the replicas` {
        @Test
        fun `the shares before remain in the history until no stream of them can be taken up`() {
            val before = shares("v1" to 8)
            val after = shares("v1" to 4, "v2" to 4)
            versions.applyStored(VersionHistory(1, listOf(before)), start)
            val next = versions.successor(after, RELEVANCE, start)
            expectThat(next).isEqualTo(VersionHistory(2, listOf(before, after)))
            versions.applyStored(next, start)
            expectThat(versions.successor(after, RELEVANCE, start + 9.seconds)).isNull()
            expectThat(versions.successor(after, RELEVANCE, start + 11.seconds))
                .isEqualTo(VersionHistory(3, listOf(after)))
        }

        @Test
        fun `a version that returns is in the history once`() {
            val first = shares("v1" to 8)
            val second = shares("v2" to 8)
            versions.applyStored(VersionHistory(2, listOf(first, second)), start)
            expectThat(versions.successor(first, RELEVANCE, start)).isNotNull()
                .get { shares }.isEqualTo(listOf(second, first))
        }

        @Test
        fun `a service without any replica keeps its shares`() {
            versions.applyStored(VersionHistory(2, listOf(shares("v1" to 8))), start)
            expectThat(versions.successor(VersionShares.NONE, RELEVANCE, start)).isNull()
        }
    }

    private companion object {
        val RELEVANCE = 10.seconds
        val STREAMS = List(1_000) { RequestId("request-$it") }
    }
}
