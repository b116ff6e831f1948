package org.buckthornwheel.decision.version

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.RequestId
import org.buckthornwheel.decision.replica.SoftwareVersion
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

internal class ChangedHomeRegionsTest {
    private val start = MonotonicInstant(0)
    private val versions = ServiceVersions()

    private fun shares(vararg counts: Pair<String, Map<RegionName, Int>>) =
        VersionShares(counts.associate { (version, regions) -> SoftwareVersion(version) to regions })

    // A manifest that changed the home regions of a route had its streams joined.
    @Test
    fun `a stream does not go on at another version after the home regions of its route have changed`() {
        val inForce = shares("v1" to mapOf(NORTH to 4, SOUTH to 2), "v2" to mapOf(NORTH to 2, SOUTH to 8))
        versions.applyStored(VersionHistory(1, listOf(inForce)), start)
        val joined = List(1_000) { RequestId("request-$it") }.count { stream ->
            val found = versions.ofBegunStream(stream, setOf(NORTH, SOUTH), StreamAge(10.seconds, 1.seconds), start)
            found is BegunStream.At && found.version != versions.ofNewStream(stream, setOf(NORTH), start)
        }
        expectThat(joined).isEqualTo(0)
    }

    private companion object {
        val NORTH = RegionName("north")
        val SOUTH = RegionName("south")
    }
}
