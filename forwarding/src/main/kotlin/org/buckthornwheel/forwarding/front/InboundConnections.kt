package org.buckthornwheel.forwarding.front

import org.buckthornwheel.forwarding.exchange.HostShutdown
import java.util.concurrent.ConcurrentHashMap

/** The open connections of a listener; when the host has begun its [shutdown], they end with their next answer. */
internal class InboundConnections(private val shutdown: HostShutdown) {
    private val connections: MutableSet<InboundConnection> = ConcurrentHashMap.newKeySet()

    /** Whether answers tell callers to connect elsewhere. */
    val isDraining: Boolean get() = shutdown.hasBegun

    val size: Int get() = connections.size

    fun opened(connection: InboundConnection) {
        connections += connection
    }

    fun closed(connection: InboundConnection) {
        connections -= connection
    }

    /** Closes the connections without a request. */
    fun closeIdle() {
        connections.forEach { connection -> connection.eventLoop.execute(connection::drain) }
    }
}
