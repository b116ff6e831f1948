package org.buckthornwheel.forwarding.host

import kotlinx.serialization.json.put
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.decision.entry.EntryHostProfile
import org.buckthornwheel.decision.entry.KnownEntryHosts
import org.buckthornwheel.decision.replica.ReplicaRegistry
import org.buckthornwheel.decision.routing.RendezvousHash
import org.buckthornwheel.decision.version.StreamVersions
import org.buckthornwheel.decision.version.VersionHistory
import org.buckthornwheel.decision.version.VersionUpdates
import org.buckthornwheel.forwarding.membership.EstateRevision
import org.buckthornwheel.forwarding.membership.ReportedRevisions
import org.buckthornwheel.forwarding.observability.DecisionLog
import org.buckthornwheel.forwarding.observability.LogPart
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Keeps the software versions of streams up to date, and learns which of their changes all hosts know. */
internal class VersionSharing(
    self: EntryHostProfile,
    private val hosts: KnownEntryHosts,
    replicas: ReplicaRegistry,
    private val routingState: RoutingState,
    private val log: DecisionLog,
    private val clock: MonotonicClock,
    private val onDue: (ServiceName, VersionHistory) -> Unit,
) {
    val versions = StreamVersions()
    private val reported = ReportedRevisions()
    private val recorded = ConcurrentHashMap<ServiceName, Recorded>()
    private val updates = VersionUpdates(versions, replicas, ::isRecorder, patience(self))

    /** The history with [number] was recorded at [revision]. */
    private class Recorded(val number: Long, val revision: EstateRevision)

    /** Applies the [history] of [service] that the store holds as of [revision]; null if it holds none. */
    fun applyStored(service: ServiceName, history: VersionHistory?, revision: EstateRevision) {
        versions.of(service).applyStored(history, clock.now())
        if (history == null) recorded.remove(service) else recorded[service] = Recorded(history.number, revision)
    }

    /** Records that [host] knows all changes up to [revision], and this one those up to [own]. */
    fun recordReported(host: HostName, revision: EstateRevision, own: EstateRevision) {
        reported.record(host, revision)
        if (revision <= own) versions.recordCurrent(clock.now())
    }

    /** An exception would end the periodic task that calls this. */
    fun updateAndLogFailure() {
        try {
            update(clock.now())
        } catch (failure: RuntimeException) {
            log.write(LogPart.REPLICA, "software versions not updated") { put("reason", failure.toString()) }
        }
    }

    private fun update(now: MonotonicInstant) {
        val manifest = routingState.manifest ?: return
        val others = hosts.possiblyAlive(now).mapTo(HashSet()) { it.name }
        reported.retain(others)
        for ((service, record) in recorded) {
            if (reported.allKnow(record.revision, others)) {
                versions.of(service).recordKnownEverywhere(record.number, now)
            }
        }
        updates.due(manifest, routingState.closedZones, now).forEach { (service, history) -> onDue(service, history) }
    }

    private fun isRecorder(service: ServiceName): Boolean = hosts.mayProbe(DUTY + service.value, clock.now())

    /** Hosts wait for different times, so that only one of them records what the recorder did not. */
    private fun patience(self: EntryHostProfile): Duration =
        PATIENCE * (1 + RendezvousHash.fraction(DUTY, self.name.value))

    companion object {
        /** Time within which a change of the software versions is noticed. */
        const val CHECK_MILLISECONDS = 200L

        /** Time after which another host records the change that the recorder did not. */
        private val PATIENCE = 2.seconds
        private const val DUTY = "versions/"
    }
}
