package org.buckthornwheel.decision.replica

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class PromptCacheTest {
    private val cache = PromptCache(capacityTokens = 100)
    private val shared = PromptPart("shared", 60)
    private val own = PromptPart("own", 20)

    @Test
    fun `parts count only behind all parts before them`() {
        cache.remember(listOf(shared, own))
        expectThat(cache.cachedTokens(listOf(shared, own))).isEqualTo(80)
        expectThat(cache.cachedTokens(listOf(PromptPart("unknown", 5), own))).isEqualTo(0)
    }

    @Test
    fun `the least recently used part yields`() {
        cache.remember(listOf(shared))
        cache.remember(listOf(own))
        cache.remember(listOf(PromptPart("next", 50)))
        expectThat(cache.cachedTokens(listOf(shared))).isEqualTo(0)
        expectThat(cache.cachedTokens(listOf(own))).isEqualTo(20)
    }
}
