/*
 * The configuration of the estate's routes: which requests exist, which service answers each, and under which limits.
 *
 * A manifest is replaced as a whole; it is never changed in place.
 */

package org.buckthornwheel.decision.manifest

import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ServiceName
import kotlin.time.Duration

/** Number of a manifest; a larger one replaces a smaller one. */
@JvmInline
public value class ManifestVersion(public val value: Long) : Comparable<ManifestVersion> {
    override fun compareTo(other: ManifestVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** All routes and services that are in force together. */
public data class Manifest(
    public val version: ManifestVersion,
    public val routes: List<Route>,
    public val services: Map<ServiceName, ServiceDefinition>,
    public val limits: CallerLimits,
) {
    private val routesByHost: Map<String, List<Route>> =
        routes.groupBy { it.hostName }.mapValues { (_, list) -> list.sortedByDescending { it.pathPrefix.length } }

    /** The route with the longest prefix of [path] under [hostName]; null if there is none. */
    public fun select(hostName: String, path: String): Route? =
        routesByHost[hostName]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** The routes that [hostName] has. */
    public fun routesOf(hostName: String): List<Route> = routesByHost[hostName].orEmpty()
}

/** What may be repeated of a route's requests. */
public enum class RouteKind { IDEMPOTENT, NON_IDEMPOTENT, STREAMING }

/** A service with its share of a route's requests. */
public data class WeightedService(public val service: ServiceName, public val weight: Double)

/**
 * One route of the manifest.
 *
 * @property timeout longest time that a request may stay unanswered.
 * @property targetLatency time within which an answer (for a stream: its first event) is on time.
 * @property priority rank of its requests; 0 is the most urgent.
 * @property split the services that answer it.
 * @property maximumAttempts replicas to which one request may be sent.
 * @property isResumable whether a broken stream may be continued by another replica.
 * @property homeRegions the only regions that may serve it; empty if all may.
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
) {
    /** Whether one of its requests may run more than once. */
    public val isRepeatable: Boolean
        get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && isResumable)

    /** The service for a request whose draw is [fraction], from 0 to 1. */
    public fun service(fraction: Double): ServiceName {
        val total = split.sumOf { it.weight }
        var rest = fraction * total
        for (part in split) {
            rest -= part.weight
            if (rest < 0) return part.service
        }
        return split.last().service
    }
}

/**
 * A service: a set of replicas that answer alike.
 *
 * @property healthPath path at which a replica tells whether it is healthy.
 * @property coldRequestsPerSecond requests that a cold replica tolerates each second; 0 if it needs no care.
 * @property tokenCapacity prompt and output tokens that a replica's memory holds; 0 if it is not a model engine.
 */
public data class ServiceDefinition(
    public val name: ServiceName,
    public val healthPath: String,
    public val coldRequestsPerSecond: Double,
    public val tokenCapacity: Long,
) {
    /** Whether its replicas are model engines, which keep prompts in memory. */
    public val isEngine: Boolean get() = tokenCapacity > 0
}

/** Bounds on what a caller may send. Sizes in bytes. */
public data class CallerLimits(
    public val headerBytes: Int,
    public val bodyBytes: Int,
    public val headerTimeout: Duration,
    public val idleTimeout: Duration,
)
