/*
 * The route configuration of the estate: the routes, the services that handle their requests, the client accounts, and
 * the limits.
 *
 * A manifest is replaced as a whole and never changed in place.
 */

package org.buckthornwheel.decision.manifest

import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.RequestId
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.decision.account.ClientAccount
import org.buckthornwheel.decision.routing.RendezvousHash
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The version of a manifest; a higher version replaces a lower one. */
@JvmInline
public value class ManifestVersion(public val value: Long) : Comparable<ManifestVersion> {
    override fun compareTo(other: ManifestVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/**
 * All routes, services and client accounts that are in force at the same time.
 *
 * @property requiresAccounts whether callers must show the key of an account. It may do so without any usable account,
 *   so that a fault in the accounts does not open the routes to everyone.
 */
public data class Manifest(
    public val version: ManifestVersion,
    public val routes: List<Route>,
    public val services: Map<ServiceName, ServiceDefinition>,
    public val limits: CallerLimits,
    public val accounts: List<ClientAccount> = emptyList(),
    public val requiresAccounts: Boolean = accounts.isNotEmpty(),
) {
    /** Priorities of the requests of [accounts]. */
    public val accountPriorities: AccountPriorities = AccountPriorities(accounts, routes)

    private val routesByHost: Map<String, List<Route>> =
        routes.groupBy { it.hostName }.mapValues { (_, list) -> list.sortedByDescending { it.pathPrefix.length } }

    private val targetsByService: Map<ServiceName, List<Route>> = routes
        .flatMap { route -> route.split.map { it.service to route } }
        .groupBy({ it.first }, { it.second })
        .mapValues { (_, list) -> shortestOfEachPriority(list) }

    /** The services whose streams callers may take up again, and how long after its beginning that may happen. */
    public val streamRelevance: Map<ServiceName, Duration> = routes
        .filter { it.kind == RouteKind.STREAMING && it.isResumable }
        .flatMap { route -> route.split.map { it.service to route.timeout } }
        .groupBy({ it.first }, { it.second })
        .mapValues { (_, timeouts) -> timeouts.max() * 2 + TAKE_UP_DELAY }

    private fun shortestOfEachPriority(list: List<Route>): List<Route> =
        list.groupBy { it.priority }.values.map { same -> same.minBy { it.targetLatency } }

    /** The shortest target latency among the routes of [service] that are at least as urgent as [priority]. */
    public fun shortestTarget(service: ServiceName, priority: Int): Duration? =
        targetsByService[service]?.filter { it.priority <= priority }?.minOfOrNull { it.targetLatency }

    /** The route of [hostName] with the longest path prefix that matches [path]; null if none matches. */
    public fun select(hostName: String, path: String): Route? =
        routesByHost[hostName]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** The routes of [hostName]. */
    public fun routesOf(hostName: String): List<Route> = routesByHost[hostName].orEmpty()

    private companion object {
        /** Time for a change of the software versions to reach all hosts, and for a caller to return. */
        val TAKE_UP_DELAY = 2.seconds
    }
}

/** Determines whether requests of a route may be sent again after a failure. */
public enum class RouteKind { IDEMPOTENT, NON_IDEMPOTENT, STREAMING }

/** A service and its relative share of a route's requests. */
public data class WeightedService(public val service: ServiceName, public val weight: Double)

/**
 * One route of the manifest.
 *
 * @property timeout maximum time until a request is answered.
 * @property targetLatency time within which a response (for a stream: its first event) should arrive.
 * @property priority priority of its requests; 0 is the most urgent.
 * @property split the services among which its requests are split.
 * @property maximumAttempts maximum number of replicas to which one request is sent.
 * @property isResumable whether another replica may continue a broken stream.
 * @property homeRegions the regions that may serve it; empty if all may.
 * @property isPublic whether callers need no account.
 */
public data class Route(
    public val name: String,
    public val hostName: String,
    public val pathPrefix: String,
    public val kind: RouteKind,
    public val timeout: Duration,
    public val targetLatency: Duration,
    public val priority: Int,
    public val split: List<WeightedService>,
    public val maximumAttempts: Int,
    public val isResumable: Boolean,
    public val homeRegions: Set<RegionName>,
    public val isPublic: Boolean = false,
) {
    /** Whether a request of the route may be executed more than once. */
    public val isRepeatable: Boolean
        get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && isResumable)

    /** The service for the stream that the request [stream] began, which stays the same when it is taken up again. */
    public fun service(stream: RequestId): ServiceName = service(RendezvousHash.fraction(stream.value, name))

    /** The service for a request, chosen by weight with the random number [fraction] from 0 to 1. */
    public fun service(fraction: Double): ServiceName {
        val total = split.sumOf { it.weight }
        var remaining = fraction * total
        for (candidate in split) {
            remaining -= candidate.weight
            if (remaining < 0) return candidate.service
        }
        return split.last().service
    }
}

/**
 * A service: a set of interchangeable replicas.
 *
 * @property healthPath path of the health check of a replica.
 * @property coldRequestsPerSecond requests per second that a cold replica tolerates; 0 if they are not limited.
 * @property tokenCapacity prompt and output tokens that fit into a replica's memory; 0 if it is not a model engine.
 * @property warmUp time for which a replica is cold after its start; zero if that is not declared.
 */
public data class ServiceDefinition(
    public val name: ServiceName,
    public val healthPath: String,
    public val coldRequestsPerSecond: Double,
    public val tokenCapacity: Long,
    public val warmUp: Duration = Duration.ZERO,
) {
    /** Whether the requests to its replicas are limited while these are cold. */
    public val limitsColdReplicas: Boolean get() = coldRequestsPerSecond > 0

    /** Whether its replicas are model engines, which cache prompts in memory. */
    public val isEngine: Boolean get() = tokenCapacity > 0
}

/** Limits on the requests of a caller. Sizes are in bytes. */
public data class CallerLimits(
    public val headerBytes: Int,
    public val bodyBytes: Int,
    public val headerTimeout: Duration,
    public val idleTimeout: Duration,
)
