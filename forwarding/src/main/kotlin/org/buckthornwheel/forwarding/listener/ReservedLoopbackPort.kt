package org.buckthornwheel.forwarding.listener

import org.buckthornwheel.api.NetworkAddress
import java.io.Closeable
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket

/**
 * A port of the loopback address, reserved until this is closed, for hosts whose address has to be known before they
 * listen on it.
 *
 * A socket that does not listen stays bound to the port. This keeps the operating system from assigning the port to an
 * outgoing connection, which would make the host's own bind fail. The listeners of a host may bind to it nevertheless,
 * since they set `SO_REUSEADDR`.
 */
public class ReservedLoopbackPort : Closeable {
    private val socket = Socket().apply {
        reuseAddress = true
        bind(InetSocketAddress(InetAddress.getByName(HOST), 0))
    }

    /** The reserved port. */
    public val port: Int get() = socket.localPort

    /** The loopback address with the reserved port. */
    public val address: NetworkAddress get() = NetworkAddress(HOST, port)

    override fun close(): Unit = socket.close()

    private companion object {
        const val HOST = "127.0.0.1"
    }
}
