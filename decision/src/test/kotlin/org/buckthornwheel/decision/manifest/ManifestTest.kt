package org.buckthornwheel.decision.manifest

import org.buckthornwheel.api.ServiceName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

internal class ManifestTest {
    private fun route(prefix: String, kind: RouteKind = RouteKind.STREAMING, isResumable: Boolean = false) = Route(
        name = prefix,
        hostName = "gateway.example",
        pathPrefix = prefix,
        kind = kind,
        timeout = 1.seconds,
        targetLatency = 1.seconds,
        priority = 0,
        split = listOf(WeightedService(ServiceName("a"), 9.0), WeightedService(ServiceName("b"), 1.0)),
        maximumAttempts = 1,
        isResumable = isResumable,
        homeRegions = emptySet(),
    )

    private val manifest = Manifest(
        ManifestVersion(1),
        listOf(route("/x/"), route("/x/deep/")),
        emptyMap(),
        CallerLimits(1, 1, 1.seconds, 1.seconds),
    )

    @Test
    fun `the route with the longest matching path prefix is selected`() {
        expectThat(manifest.select("gateway.example", "/x/deep/y")?.name).isEqualTo("/x/deep/")
        expectThat(manifest.select("gateway.example", "/x/y")?.name).isEqualTo("/x/")
        expectThat(manifest.select("gateway.example", "/z/")).isNull()
        expectThat(manifest.select("other.example", "/x/y")).isNull()
    }

    @Test
    fun `services are selected at random by their weight`() {
        expectThat(route("/x/").service(0.89).value).isEqualTo("a")
        expectThat(route("/x/").service(0.91).value).isEqualTo("b")
    }

    @Test
    fun `a stream may be repeated only if it can be resumed`() {
        expectThat(route("/x/").isRepeatable).isFalse()
        expectThat(route("/x/", isResumable = true).isRepeatable).isTrue()
        expectThat(route("/x/", RouteKind.NON_IDEMPOTENT, isResumable = true).isRepeatable).isFalse()
    }
}
