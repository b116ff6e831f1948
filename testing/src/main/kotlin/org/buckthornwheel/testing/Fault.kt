package org.buckthornwheel.testing

/**
 * A network fault that a [FaultProxy] simulates on a link.
 *
 * @property rejectsConnections new connections are closed immediately and datagrams are dropped.
 * @property dropsRequests bytes towards the target are dropped while the connection stays open.
 * @property dropsResponses bytes from the target are dropped while the connection stays open.
 * @property delayMilliseconds one-way delay added to every read from the link.
 * @property bytesBeforeStall bytes in each direction of a connection after which all further bytes are dropped.
 */
public data class Fault(
    public val rejectsConnections: Boolean = false,
    public val dropsRequests: Boolean = false,
    public val dropsResponses: Boolean = false,
    public val delayMilliseconds: Long = 0,
    public val bytesBeforeStall: Long = Long.MAX_VALUE,
) {
    /** Predefined faults. */
    public companion object {
        /** No fault: all traffic is forwarded. */
        public val NONE: Fault = Fault()

        /** Network partition: no traffic is forwarded and new connections are closed. */
        public val CUT: Fault = Fault(rejectsConnections = true, dropsRequests = true, dropsResponses = true)

        /** Connections stay open, but all bytes are dropped. */
        public val SILENT: Fault = Fault(dropsRequests = true, dropsResponses = true)

        /** Requests arrive at the target, but responses are dropped. */
        public val RESPONSES_LOST: Fault = Fault(dropsResponses = true)
    }
}
