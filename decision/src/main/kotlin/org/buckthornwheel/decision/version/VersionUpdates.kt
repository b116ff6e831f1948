package org.buckthornwheel.decision.version

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.manifest.Manifest
import org.buckthornwheel.decision.replica.ReplicaRegistry
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides when the recorded shares of the software versions have to change. Not thread-safe.
 *
 * One host of all records a change, and the others only if none does for a while. The shares of a service change once a
 * second at most, so that a rollout over a thousand replicas takes no more writes than one over ten.
 *
 * @param isRecorder whether this host is the one that records the shares of a service.
 * @param patience time for which a change must be due before this host records it although it is not the recorder.
 */
public class VersionUpdates(
    private val versions: StreamVersions,
    private val replicas: ReplicaRegistry,
    private val isRecorder: (ServiceName) -> Boolean,
    private val patience: Duration,
) {
    private val dueSince = HashMap<ServiceName, MonotonicInstant>()
    private val proposedAt = HashMap<ServiceName, MonotonicInstant>()

    /** The histories that this host should record at [now], by service; [closedZones] take no new streams. */
    public fun due(
        manifest: Manifest,
        closedZones: Set<ZoneName>,
        now: MonotonicInstant,
    ): Map<ServiceName, VersionHistory> {
        if (versions.awaitsRecords) return emptyMap()
        return manifest.streamRelevance.mapNotNull { (service, relevance) ->
            val next = successor(service, relevance, closedZones, now)
            if (next == null) dueSince.remove(service)
            next?.takeIf { mayRecord(service, now) }?.let { service to it }
        }.toMap().onEach { (service, _) -> proposedAt[service] = now }
    }

    private fun successor(
        service: ServiceName,
        relevance: Duration,
        closedZones: Set<ZoneName>,
        now: MonotonicInstant,
    ): VersionHistory? {
        val counted = ShareCount.of(replicas.of(service), closedZones, now)
        val known = versions.of(service)
        known.applyCounted(counted, now)
        known.recordServed(ShareCount.served(replicas.of(service), closedZones, now), now)
        return known.successor(counted, relevance, now) ?: known.current.takeIf { it.number > 0 && !known.isStored }
    }

    private fun mayRecord(service: ServiceName, now: MonotonicInstant): Boolean {
        val since = dueSince.getOrPut(service) { now }
        val isPaced = proposedAt[service]?.let { now - it < PACE } ?: false
        return !isPaced && (isRecorder(service) || now - since > patience)
    }

    private companion object {
        val PACE = 1.seconds
    }
}
