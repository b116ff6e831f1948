package org.buckthornwheel.daemon.membership

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.BoundDatagramSocket
import io.ktor.network.sockets.Datagram
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.io.Buffer
import kotlinx.io.readByteArray
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.daemon.observability.Part
import org.buckthornwheel.decision.membership.GossipContent
import org.buckthornwheel.decision.membership.GossipNode
import org.buckthornwheel.decision.membership.OutgoingGossip
import org.buckthornwheel.protocol.peer.Gossip
import org.buckthornwheel.protocol.peer.PeerCodec
import org.buckthornwheel.protocol.peer.PeerMessage
import java.io.IOException
import kotlin.time.Duration

/** Told of every revision that another host says it has applied. */
internal fun interface RevisionListener {
    fun heard(content: GossipContent)
}

/** Sends what the gossip node plans and hands it what comes in, as datagrams. */
internal class GossipExchange(
    private val listen: NetworkAddress,
    private val interval: Duration,
    private val codec: PeerCodec,
    private val node: GossipNode,
    private val addresses: AddressBook,
    private val traffic: ControlTraffic,
    private val clock: MonotonicClock,
) {
    @Volatile
    private var socket: BoundDatagramSocket? = null

    /** Who learns of other hosts' revisions. */
    @Volatile
    var revisionListener: RevisionListener = RevisionListener { }

    /** Runs until it is cancelled. */
    suspend fun run(): Unit = SelectorManager(Dispatchers.IO).use { selector ->
        aSocket(selector).udp().bind(InetSocketAddress(listen.host, listen.port)).use { bound ->
            socket = bound
            coroutineScope {
                launch { receive(bound) }
                send()
            }
        }
    }

    /** Tells others at once what has changed at this host: a new revision, or that it is leaving. */
    suspend fun announce(): Unit = node.announce(clock.now()).forEach { send(it) }

    private suspend fun send() {
        while (true) {
            node.tick(clock.now()).forEach { send(it) }
            delay(interval)
        }
    }

    private suspend fun send(outgoing: OutgoingGossip) {
        val bound = socket ?: return
        val address = addresses.reachableAddress(outgoing.receiver)
        val bytes = codec.encode<PeerMessage>(outgoing.content.toMessage())
        try {
            bound.send(Datagram(Buffer().apply { write(bytes) }, InetSocketAddress(address.host, address.port)))
            traffic.sent(bytes.size)
        } catch (failure: IOException) {
            Part.MEMBERSHIP.warn("No message could be sent to $address: ${failure.message}.")
        }
    }

    private suspend fun receive(bound: BoundDatagramSocket) {
        while (true) {
            val bytes = bound.receive().packet.readByteArray()
            traffic.received(bytes.size)
            codec.decode<PeerMessage>(bytes).fold(
                ifLeft = { Part.MEMBERSHIP.warn("A datagram was dropped because of its ${it.name.lowercase()}.") },
                ifRight = { message -> if (message is Gossip) take(message) },
            )
        }
    }

    private suspend fun take(message: Gossip) {
        val content = message.toContent()
        node.receive(content, clock.now()).forEach { send(it) }
        revisionListener.heard(content)
    }
}
