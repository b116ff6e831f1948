package org.buckthornwheel.forwarding.limits

/**
 * Largest numbers of connections that a host accepts, as shares of the [machine]'s descriptors.
 *
 * The shares leave a quarter to connections that the host opens itself, to the store, replicas and other hosts.
 */
internal class ConnectionLimits(machine: MachineLimits) {
    private val sockets = machine.descriptors?.let { maxOf(it - FILES, MINIMUM_SOCKETS) } ?: UNLIMITED

    /** Connections of callers. */
    val callers: Int = sockets / 16 * 9

    /** Connections of other hosts. */
    val peers: Int = sockets / 8

    /** Connections to each of the endpoints for readiness, directory and metrics. */
    val endpoint: Int = sockets / 32

    private companion object {
        /** Descriptors for files: the program and its libraries. */
        const val FILES = 200
        const val MINIMUM_SOCKETS = 64
        const val UNLIMITED = 65_536
    }
}
