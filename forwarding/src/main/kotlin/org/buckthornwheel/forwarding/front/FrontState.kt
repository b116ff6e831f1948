package org.buckthornwheel.forwarding.front

import java.util.concurrent.ConcurrentHashMap

/** The open connections of a listener, and whether it is draining. */
internal class FrontState {
    private val connections: MutableSet<FrontConnection> = ConcurrentHashMap.newKeySet()

    /** Whether answers tell callers to connect elsewhere. */
    @Volatile
    var isDraining: Boolean = false

    val size: Int get() = connections.size

    fun opened(connection: FrontConnection) {
        connections += connection
    }

    fun closed(connection: FrontConnection) {
        connections -= connection
    }

    /** Closes the connections without a request. */
    fun closeIdle() {
        connections.forEach { connection -> connection.eventLoop.execute(connection::drain) }
    }
}
