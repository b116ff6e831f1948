package org.buckthornwheel.forwarding.front

import org.buckthornwheel.forwarding.exchange.HostShutdown
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/** The open connections of a listener. During [shutdown], each is closed after its next response. */
internal class InboundConnections(private val shutdown: HostShutdown) {
    private val connections: MutableSet<InboundConnection> = ConcurrentHashMap.newKeySet()

    /** Whether responses announce that the connection will close, so that callers connect to another host. */
    val isDraining: Boolean get() = shutdown.hasBegun

    val size: Int get() = connections.size

    fun opened(connection: InboundConnection) {
        connections += connection
    }

    fun closed(connection: InboundConnection) {
        connections -= connection
    }

    /** Ends the requests in progress whose prompt parts are quarantined. */
    fun recheckQuarantine() {
        connections.forEach { connection -> connection.eventLoop.execute(connection::recheckQuarantine) }
    }

    /** Called when the host itself ends. */
    fun onHostEnd() {
        connections.forEach { connection -> connection.eventLoop.execute(connection::onHostEnd) }
    }

    /** Closes the connections that have been idle for at least [minimumIdle]; a request may be arriving on others. */
    fun closeIdle(minimumIdle: Duration) {
        connections.forEach { connection -> connection.eventLoop.execute { connection.drain(minimumIdle) } }
    }
}
