package org.buckthornwheel.decision.version

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.RequestId
import org.buckthornwheel.decision.replica.SoftwareVersion
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

internal class StreamTimeLimitsTest {
    private val start = MonotonicInstant(0)
    private val limits = StreamTimeLimits()
    private val versions = ServiceVersions()
    private val stream = RequestId("request-1")

    private fun shares(version: String) =
        VersionShares(mapOf(SoftwareVersion(version) to mapOf(RegionName("north") to 4)))

    // A caller that waits longer than its route's limit had its stream joined by a host that had just started.
    @Test
    fun `a host that has seen no caller of a route does not take its stream for a newer one`() {
        versions.applyStored(VersionHistory(2, listOf(shares("v1"), shares("v2"))), start)
        versions.recordKnownEverywhere(2, start)
        // It waits for 8 s, has used 6 s of these, and the route's limit is 4 s.
        val age = StreamAge(longest = 10.seconds, limits.used("ask", usual = 4.seconds, remaining = 2.seconds))
        val begun = versions.ofBegunStream(stream, emptySet(), age, start + 5.seconds)
        expectThat(begun).isEqualTo(BegunStream.Unknown)
    }

    @Test
    fun `a caller that still has more time than any before does not have its stream taken for a newer one`() {
        limits.record("ask", 4.seconds)
        versions.applyStored(VersionHistory(2, listOf(shares("v1"), shares("v2"))), start)
        versions.recordKnownEverywhere(2, start)
        // It waits for 20 s and has used 6 s of these.
        val age = StreamAge(longest = 10.seconds, limits.used("ask", usual = 4.seconds, remaining = 14.seconds))
        val begun = versions.ofBegunStream(stream, emptySet(), age, start + 5.seconds)
        expectThat(begun).isEqualTo(BegunStream.Unknown)
    }
}
