package org.buckthornwheel.decision.replica

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class PromptCacheTest {
    private val cache = PromptCache(capacityTokens = 100)
    private val shared = PromptPart("shared", 60)
    private val own = PromptPart("own", 20)

    @Test
    fun `a part counts as cached only if all parts before it are cached`() {
        cache.add(listOf(shared, own))
        expectThat(cache.cachedTokens(listOf(shared, own))).isEqualTo(80)
        expectThat(cache.cachedTokens(listOf(PromptPart("unknown", 5), own))).isEqualTo(0)
    }

    @Test
    fun `the least recently used part is evicted first`() {
        cache.add(listOf(shared))
        cache.add(listOf(own))
        cache.add(listOf(PromptPart("next", 50)))
        expectThat(cache.cachedTokens(listOf(shared))).isEqualTo(0)
        expectThat(cache.cachedTokens(listOf(own))).isEqualTo(20)
    }
}
