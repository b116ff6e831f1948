package org.buckthornwheel.forwarding.front

import io.netty.channel.EventLoop
import org.buckthornwheel.forwarding.exchange.HostShutdown
import org.buckthornwheel.forwarding.limits.ConnectionGroup
import org.buckthornwheel.forwarding.limits.LimitLog
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The open connections of a listener, at most [maximum]. During [shutdown], each is closed after its next response. */
internal class InboundConnections(private val shutdown: HostShutdown, maximum: Int, limitLog: LimitLog) {
    val group: ConnectionGroup<InboundConnection> = ConnectionGroup(maximum, limitLog, REQUEST_ARRIVAL_TIME)

    /** Whether responses announce that the connection will close, so that callers connect to another host. */
    val isDraining: Boolean get() = shutdown.hasBegun

    val size: Int get() = group.size

    fun opened(connection: InboundConnection): Unit = group.opened(connection)

    fun closed(connection: InboundConnection): Unit = group.closed(connection)

    /** Ends the requests in progress whose prompt parts are quarantined. */
    fun recheckQuarantine(): Unit =
        group.forEach { connection -> connection.eventLoop.execute(connection::recheckQuarantine) }

    /** Called when the host itself ends. */
    fun onHostEnd(): Unit = group.forEach { connection -> connection.eventLoop.execute(connection::onHostEnd) }

    /** Closes the connections that have been idle for at least [minimumIdle]; a request may be arriving on others. */
    fun closeIdle(minimumIdle: Duration): Unit =
        group.forEach { connection -> connection.eventLoop.execute { connection.drain(minimumIdle) } }

    /** Closes the connections of [loop], on which this is called, that keep memory without progress. */
    fun relieve(loop: EventLoop, shortage: MemoryShortage): Unit =
        group.forEach { connection -> if (connection.eventLoop === loop) connection.relieve(shortage) }

    private companion object {
        /** Several round trips. */
        val REQUEST_ARRIVAL_TIME = 500.milliseconds
    }
}
