package org.buckthornwheel.forwarding.exchange

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.RequestId
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.decision.account.ClientAccount
import org.buckthornwheel.decision.manifest.Manifest
import org.buckthornwheel.decision.manifest.ManifestVersion
import org.buckthornwheel.decision.manifest.RouteKind
import org.buckthornwheel.forwarding.dialect.RequestMetadata
import org.buckthornwheel.forwarding.fixture.TestManifest
import org.buckthornwheel.forwarding.host.RoutingState
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

internal class HomesInForceTest {
    private val north = RegionName("north")
    private val south = RegionName("south")
    private val routingState = RoutingState(MonotonicClock.SYSTEM)

    private fun manifest(
        version: Long,
        ofRoute: Set<RegionName> = emptySet(),
        ofAccount: Set<RegionName>? = null,
    ): Manifest = TestManifest.of(version, homeRegions = ofRoute).copy(
        accounts = listOfNotNull(
            ofAccount?.let { ClientAccount(AccountName("account-1"), emptySet(), it, priority = null, limit = null) },
        ),
    )

    /** The homes of a request that arrived in version 5, whose homes were the northern region. */
    private fun homes(path: String = "/read/x", account: String? = null) = HomesInForce(
        routingState,
        ReceivedRequest(
            DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path).apply {
                headers().set("Host", "gateway.example:80")
            },
            Unpooled.EMPTY_BUFFER,
            RequestMetadata(RequestId("q1"), null, 0, 0, null, emptyList()),
            policy(account),
        ),
    )

    private fun policy(account: String?) = RequestPolicy(
        routeName = "read",
        version = ManifestVersion(5),
        service = ServiceName(TestManifest.SERVICE),
        kind = RouteKind.IDEMPOTENT,
        isResumable = false,
        priority = 1,
        targetLatency = 1.seconds,
        maximumAttempts = 2,
        homeRegions = setOf(north),
        arrivedAt = MonotonicInstant(0),
        deadline = MonotonicInstant(0) + 1.seconds,
        mayForward = true,
        account = account?.let(::AccountName),
    )

    @Test
    fun `a manifest that is not newer than the request's changes nothing`() {
        routingState.updateManifest(manifest(version = 5, ofRoute = setOf(south)))
        expectThat(homes().regions).isEqualTo(setOf(north))
    }

    @Test
    fun `the homes follow each newer manifest, also one without homes`() {
        val homes = homes("/read/x?y=1")
        routingState.updateManifest(manifest(version = 6, ofRoute = setOf(south)))
        expectThat(homes.permit(south)).isTrue()
        expectThat(homes.permit(north)).isFalse()
        routingState.updateManifest(manifest(version = 7))
        expectThat(homes.permit(north)).isTrue()
        expectThat(homes.version).isEqualTo(ManifestVersion(7))
    }

    @Test
    fun `a request whose route was removed keeps its homes`() {
        routingState.updateManifest(manifest(version = 6, ofRoute = setOf(south)))
        expectThat(homes("/removed/x").regions).isEqualTo(setOf(north))
    }

    @Nested
    inner class `given a request of an account` {
        @Test
        fun `the homes of the account in force bind it beside those of the route`() {
            routingState.updateManifest(manifest(version = 6, ofRoute = setOf(north, south), ofAccount = setOf(south)))
            expectThat(homes(account = "account-1").regions).isEqualTo(setOf(south))
        }

        @Test
        fun `no region may serve it if account and route have no home in common`() {
            routingState.updateManifest(manifest(version = 6, ofRoute = setOf(north), ofAccount = setOf(south)))
            expectThat(homes(account = "account-1").regions).isNull()
            expectThat(homes(account = "account-1").permit(north)).isFalse()
        }

        @Test
        fun `it keeps its homes if the account was removed`() {
            routingState.updateManifest(manifest(version = 6, ofAccount = null))
            expectThat(homes(account = "account-1").regions).isEqualTo(setOf(north))
        }
    }
}
