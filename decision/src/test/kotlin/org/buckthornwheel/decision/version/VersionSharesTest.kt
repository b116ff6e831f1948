package org.buckthornwheel.decision.version

import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.RequestId
import org.buckthornwheel.decision.replica.SoftwareVersion
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isIn
import strikt.assertions.isNull
import strikt.assertions.isTrue

internal class VersionSharesTest {
    private fun shares(vararg counts: Pair<String, Map<String, Int>>) = VersionShares(
        counts.associate { (version, regions) ->
            SoftwareVersion(version) to regions.mapKeys { RegionName(it.key) }
        },
    )

    private fun VersionShares.count(version: String, homes: Set<RegionName> = emptySet()) =
        STREAMS.count { versionOf(it, homes)?.value == version }

    @Test
    fun `streams are divided by the numbers of replicas`() {
        val uneven = shares("v1" to mapOf("north" to 6), "v2" to mapOf("north" to 1, "south" to 1))
        expectThat(uneven.count("v2")).isIn(200..300)
    }

    @Test
    fun `a changed share moves only the streams that the change is about`() {
        val before = shares("v1" to mapOf("north" to 8), "v2" to mapOf("north" to 2))
        val after = shares("v1" to mapOf("north" to 6), "v2" to mapOf("north" to 4))
        val moved = STREAMS.count { before.versionOf(it, emptySet()) != after.versionOf(it, emptySet()) }
        val back = STREAMS.count {
            before.versionOf(it, emptySet())?.value == "v2" &&
                after.versionOf(it, emptySet())?.value == "v1"
        }
        expectThat(moved).isIn(150..250)
        expectThat(back).isEqualTo(0)
    }

    @Test
    fun `only versions with replicas in the home regions get streams`() {
        val apart = shares("v1" to mapOf("north" to 4), "v2" to mapOf("south" to 4))
        expectThat(apart.count("v2", homes = setOf(RegionName("south")))).isEqualTo(STREAMS.size)
    }

    @Test
    fun `a single replica gets no streams beside other versions, but all of them if there is no other version`() {
        val first = shares("v1" to mapOf("north" to 4), "v2" to mapOf("north" to 1))
        expectThat(first.count("v2")).isEqualTo(0)
        expectThat(shares("v2" to mapOf("north" to 1)).count("v2")).isEqualTo(STREAMS.size)
        expectThat(VersionShares.NONE.versionOf(STREAMS.first(), emptySet())).isNull()
    }

    @Test
    fun `new shares are worth a write if a version comes or goes in a region, or its share changes`() {
        val before = shares("v1" to mapOf("north" to 8, "south" to 8), "v2" to mapOf("north" to 8, "south" to 8))
        val nearly = shares("v1" to mapOf("north" to 8, "south" to 7), "v2" to mapOf("north" to 8, "south" to 8))
        val moved = shares("v1" to mapOf("north" to 8, "south" to 4), "v2" to mapOf("north" to 8, "south" to 8))
        val left = shares("v1" to mapOf("north" to 8), "v2" to mapOf("north" to 8, "south" to 8))
        expectThat(before.isNear(nearly)).isTrue()
        expectThat(before.isNear(moved)).isFalse()
        expectThat(before.isNear(left)).isFalse()
    }

    private companion object {
        val STREAMS = List(1_000) { RequestId("request-$it") }
    }
}
