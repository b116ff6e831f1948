package org.buckthornwheel.forwarding.exchange

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.RequestId
import org.buckthornwheel.decision.replica.SoftwareVersion
import org.buckthornwheel.decision.version.BegunStream
import org.buckthornwheel.decision.version.ShareCount
import org.buckthornwheel.decision.version.StreamAge
import org.buckthornwheel.decision.version.StreamOrigin
import kotlin.time.Duration

/** Which software version an attempt of a request may be sent to. */
internal sealed interface RequiredVersion {
    /** Any, since the response cannot go on elsewhere. */
    data object Any : RequiredVersion

    /** Only [version]. */
    data class Only(val version: SoftwareVersion) : RequiredVersion

    /** Not known yet. */
    data object NotYetKnown : RequiredVersion

    /** The stream has begun, and it cannot be told at which version. */
    data object Untraceable : RequiredVersion
}

/** The software version of the stream that [request] begins or goes on with, if its route has streams that go on. */
internal class StreamVersion(private val context: ForwardingContext, private val request: ReceivedRequest) {
    private val policy = request.policy
    private val versions = context.versions.of(policy.service)
    private val mayGoOn = policy.isStreaming && policy.isResumable
    private var begunAt: SoftwareVersion? = policy.softwareVersion

    /** Whether a caller takes up a stream that an earlier request began. */
    val isTakeUp: Boolean = mayGoOn && !request.head.headers().get(RequestHeaders.LAST_EVENT_ID).isNullOrBlank()

    /** The request that began the stream; null if the caller did not name it. */
    private val beginning: RequestId? = if (isTakeUp) request.metadata.resumedRequest else request.metadata.id

    init {
        val limit = request.metadata.remaining
        if (mayGoOn && !isTakeUp && limit != null) context.versions.timeLimits.record(policy.routeName, limit)
    }

    /** The version that the next attempt needs at [now]; only the regions [homes] may serve it. */
    fun required(homes: Set<RegionName>, now: MonotonicInstant): RequiredVersion {
        val begun = begunAt
        return when {
            !mayGoOn -> RequiredVersion.Any
            begun != null -> RequiredVersion.Only(begun)
            // A host of an earlier build forwarded the request.
            !policy.mayForward -> RequiredVersion.Any
            context.versions.awaitsRecords -> RequiredVersion.NotYetKnown
            isTakeUp -> begunVersion(homes, now)
            else -> newVersion(homes, now)
        }
    }

    /** The version for which the request waits; null if any will do, also since only one serves. */
    fun awaited(homes: Set<RegionName>): SoftwareVersion? {
        if (versions.current.inForce.versions.size <= 1) return null
        return (required(homes, context.clock.now()) as? RequiredVersion.Only)?.version
    }

    private fun newVersion(homes: Set<RegionName>, now: MonotonicInstant): RequiredVersion {
        countUnrecorded(now)
        val chosen = versions.ofNewStream(request.metadata.id, homes, now) ?: return RequiredVersion.NotYetKnown
        return RequiredVersion.Only(chosen)
    }

    /** Called when the first event of the response came from [version]; null if a host of an earlier build sent it. */
    fun recordBegun(version: SoftwareVersion?) {
        if (!mayGoOn || version == null) return
        begunAt = version
        beginning?.let { context.versions.begun.record(it, StreamOrigin(policy.service, version)) }
    }

    private fun begunVersion(homes: Set<RegionName>, now: MonotonicInstant): RequiredVersion {
        countUnrecorded(now)
        val known = beginning?.let(context.versions.begun::find)
        if (known?.service == policy.service) return RequiredVersion.Only(known.version)
        if (known != null) return RequiredVersion.Untraceable
        return when (val found = versions.ofBegunStream(beginning, homes, age(), now)) {
            is BegunStream.At -> RequiredVersion.Only(found.version)
            BegunStream.Unknown -> RequiredVersion.Untraceable
        }
    }

    private fun age(): StreamAge {
        val manifest = context.routingState.manifest ?: return StreamAge(Duration.INFINITE)
        val longest = manifest.streamRelevance[policy.service] ?: Duration.INFINITE
        val route = manifest.routes.find { it.name == policy.routeName }
        val remaining = request.metadata.remaining
        if (route == null || remaining == null) return StreamAge(longest)
        return StreamAge(longest, context.versions.timeLimits.used(route.name, route.timeout, remaining))
    }

    /** Counts the replicas here as long as no count is recorded. */
    private fun countUnrecorded(now: MonotonicInstant) {
        if (versions.current.number > 0) return
        val replicas = context.replicas.of(policy.service)
        versions.applyCounted(ShareCount.of(replicas, context.routingState.closedZones, now), now)
    }
}
