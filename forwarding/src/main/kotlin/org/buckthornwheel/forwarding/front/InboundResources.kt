package org.buckthornwheel.forwarding.front

import org.buckthornwheel.forwarding.limits.HostMemory
import org.buckthornwheel.forwarding.limits.LimitLog
import kotlin.time.Duration

/** Limits of a connection, from the manifest in force. */
internal class InboundLimits(val bodyBytes: Int, val headerTimeout: Duration, val idleTimeout: Duration)

/** What the connections of a listener share. */
internal class InboundResources(
    val connections: InboundConnections,
    val memory: HostMemory,
    val limitLog: LimitLog,
    val limits: () -> InboundLimits,
    val headerBytes: () -> Int,
)

/** Which memory is short, so that requests or responses wait for it. */
internal class MemoryShortage(val ofRequests: Boolean, val ofResponses: Boolean)
