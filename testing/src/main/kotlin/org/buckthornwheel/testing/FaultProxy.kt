package org.buckthornwheel.testing

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.BoundDatagramSocket
import io.ktor.network.sockets.Datagram
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.availableForRead
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.buckthornwheel.api.NetworkAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/**
 * A proxy between two processes that simulates network failures: it forwards TCP connections and UDP datagrams from
 * [address] to [target], subject to [fault].
 */
public class FaultProxy(private val target: NetworkAddress) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val connections: MutableSet<Socket> = ConcurrentHashMap.newKeySet()
    private val server: ServerSocket
    private val datagrams: BoundDatagramSocket

    /** The address on which the proxy listens for TCP and UDP. */
    public val address: NetworkAddress = NetworkAddress("127.0.0.1", FreePorts.next())

    /** The fault applied to all traffic from now on, including that of existing connections. */
    @Volatile
    public var fault: Fault = Fault.NONE

    /** Bytes forwarded to the target. */
    public val bytesToTarget: AtomicLong = AtomicLong()

    /** Bytes forwarded from the target. */
    public val bytesFromTarget: AtomicLong = AtomicLong()

    init {
        val listen = InetSocketAddress(address.host, address.port)
        server = runBlocking { aSocket(selector).tcp().bind(listen) }
        datagrams = runBlocking { aSocket(selector).udp().bind(listen) }
        scope.launch { acceptConnections() }
        scope.launch { forwardDatagrams() }
    }

    /** Closes every open connection through the proxy. */
    public fun closeConnections() {
        connections.forEach { it.close() }
        connections.clear()
    }

    /** Cuts the link: closes existing connections, closes new ones immediately, and drops datagrams. */
    public fun cut() {
        fault = Fault.CUT
        closeConnections()
    }

    /** Removes the fault, so that all traffic is forwarded again. */
    public fun heal() {
        fault = Fault.NONE
    }

    override fun close() {
        scope.cancel()
        closeConnections()
        server.close()
        datagrams.close()
    }

    private suspend fun acceptConnections() {
        while (true) {
            val client = server.accept()
            if (fault.rejectsConnections) client.close() else scope.launch { proxyConnection(client) }
        }
    }

    private suspend fun proxyConnection(client: Socket) {
        connections += client
        try {
            aSocket(selector).tcp().connect(InetSocketAddress(target.host, target.port)).use { upstream ->
                connections += upstream
                forwardBothWays(client, upstream)
            }
        } catch (_: Exception) {
            client.close()
        } finally {
            client.close()
            connections -= client
        }
    }

    private suspend fun forwardBothWays(client: Socket, upstream: Socket): Unit = coroutineScope {
        launch {
            copy(client.openReadChannel(), upstream.openWriteChannel(), bytesToTarget) { fault.dropsRequests }
            upstream.close()
        }
        launch {
            copy(upstream.openReadChannel(), client.openWriteChannel(), bytesFromTarget) { fault.dropsResponses }
            client.close()
        }
    }

    private suspend fun copy(
        from: ByteReadChannel,
        to: ByteWriteChannel,
        byteCounter: AtomicLong,
        drops: () -> Boolean,
    ) {
        val buffer = ByteArray(BUFFER_BYTES)
        var bytesRead = 0L
        while (true) {
            val length = from.readAvailable(buffer)
            if (length < 0) return
            if (fault.delayMilliseconds > 0) delay(fault.delayMilliseconds)
            bytesRead += length
            if (drops() || bytesRead > fault.bytesBeforeStall) continue
            to.writeFully(buffer, 0, length)
            if (from.availableForRead == 0) to.flush()
            byteCounter.addAndGet(length.toLong())
        }
    }

    // Datagrams are forwarded only towards the target; the receiver replies to the sender's advertised address.
    private suspend fun forwardDatagrams() {
        val receiver = InetSocketAddress(target.host, target.port)
        while (true) {
            val datagram = datagrams.receive()
            if (fault.dropsRequests || fault.rejectsConnections) continue
            scope.launch {
                if (fault.delayMilliseconds > 0) delay(fault.delayMilliseconds)
                datagrams.send(Datagram(datagram.packet, receiver))
            }
        }
    }

    private companion object {
        const val BUFFER_BYTES = 8_192

        /** Shared by all proxies: each selector occupies a thread, and a large estate has more links than threads. */
        val selector: SelectorManager = SelectorManager(Dispatchers.IO)
    }
}
