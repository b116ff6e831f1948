package org.buckthornwheel.forwarding.exchange

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.decision.manifest.AccountDeclarations
import org.buckthornwheel.decision.manifest.Manifest
import org.buckthornwheel.decision.manifest.ManifestVersion
import org.buckthornwheel.forwarding.host.RoutingState

/**
 * The regions that may serve one request, by the manifest in force whenever it is asked for.
 *
 * The rest of a request's policy is that of its arrival. Homes restrict where data may go, so that they also bind
 * requests that are in progress when they change.
 */
internal class HomesInForce(private val routingState: RoutingState, private val request: ReceivedRequest) {
    private val policy = request.policy
    private var knownVersion = policy.version
    private var known: Set<RegionName>? = policy.homeRegions

    /** The regions that may serve the request: null if none may, empty if all may. */
    val regions: Set<RegionName>?
        get() {
            val manifest = routingState.manifest
            if (manifest != null && manifest.version > knownVersion) {
                knownVersion = manifest.version
                known = regions(manifest)
            }
            return known
        }

    /** The version of the manifest that defines [regions]. */
    val version: ManifestVersion get() = regions.let { knownVersion }

    /** Whether the request may be served in [region]. */
    fun permit(region: RegionName): Boolean = regions?.let { it.isEmpty() || region in it } ?: false

    /** A request whose route or account was removed meanwhile keeps to the homes that it had. */
    private fun regions(manifest: Manifest): Set<RegionName>? {
        val route = manifest.select(hostName(request.head), request.head.uri().substringBefore('?')) ?: return known
        val account = policy.account ?: return route.homeRegions
        val ofAccount = manifest.accounts.find { it.name == account }?.homeRegions ?: known ?: return null
        return AccountDeclarations.commonHomes(ofAccount, route.homeRegions)
    }

    companion object {
        /** The host name that [head] selects routes by, without a port. */
        fun hostName(head: HttpRequest): String =
            head.headers().get(HttpHeaderNames.HOST).orEmpty().substringBefore(':').lowercase()
    }
}
