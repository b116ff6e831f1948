/*
 * Ports for hosts whose addresses are known before they listen.
 *
 * A port that is only chosen but not held can be taken by an outgoing connection before the host binds to it; the bind
 * then fails with "Address already in use".
 */

package org.buckthornwheel.forwarding.listener

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import java.io.Closeable
import java.net.BindException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket

internal class ReservedLoopbackPortTest {
    private val opened = ArrayList<Closeable>()

    @AfterEach
    fun close() = opened.forEach { it.close() }

    private fun <Resource : Closeable> keep(resource: Resource): Resource = resource.also { opened += it }

    @Test
    fun `no other socket can take a reserved port`() {
        repeat(STARTS) {
            val port = keep(ReservedLoopbackPort()).port
            assertThrows<BindException> { keep(Socket()).bind(InetSocketAddress("127.0.0.1", port)) }
        }
    }

    @Test
    fun `a listener that reuses addresses binds to it, beside a load of outgoing connections`() {
        val server = keep(ServerSocket(0, STARTS, InetAddress.getLoopbackAddress()))
        repeat(STARTS) {
            val port = keep(ReservedLoopbackPort()).port
            repeat(CONNECTIONS_PER_START) { keep(Socket(InetAddress.getLoopbackAddress(), server.localPort)) }
            repeat(CONNECTIONS_PER_START) { keep(server.accept()) }
            val listener = keep(ServerSocket())
            listener.reuseAddress = true
            listener.bind(InetSocketAddress("127.0.0.1", port))
        }
    }

    private companion object {
        const val STARTS = 300
        const val CONNECTIONS_PER_START = 5
    }
}
