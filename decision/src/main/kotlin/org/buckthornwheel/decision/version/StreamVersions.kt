package org.buckthornwheel.decision.version

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ServiceName
import java.util.concurrent.ConcurrentHashMap

/** The software versions of all services, and the streams that this host knows to have begun. Thread-safe. */
public class StreamVersions {
    private val services = ConcurrentHashMap<ServiceName, ServiceVersions>()

    /** The streams that this host relayed. */
    public val begun: BegunStreams = BegunStreams()

    /** The time limits of callers. */
    public val timeLimits: StreamTimeLimits = StreamTimeLimits()

    /** Whether the recorded histories are still to be read, so that no stream may begin or go on yet. */
    @Volatile
    public var awaitsRecords: Boolean = false

    /** Records that this host missed no change of the estate up to [now]. */
    public fun recordCurrent(now: MonotonicInstant): Unit = services.values.forEach { it.recordCurrent(now) }

    /** The versions of [service]. */
    public fun of(service: ServiceName): ServiceVersions = services.computeIfAbsent(service) { ServiceVersions() }
}
