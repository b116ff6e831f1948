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

/** Receives the content of each gossip message, which names the revision that its sender has applied. */
internal fun interface RevisionListener {
    fun onGossip(content: GossipContent)
}

/** Sends the messages of the gossip node as UDP datagrams and passes received messages to it. */
internal class GossipTransport(
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

    /** Listener for the revisions that other hosts have applied. */
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

    /** Announces a change of this host at once: a new revision, or that it is leaving. */
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
            Part.MEMBERSHIP.warn("A message to $address could not be sent: ${failure.message}.")
        }
    }

    private suspend fun receive(bound: BoundDatagramSocket) {
        while (true) {
            val bytes = bound.receive().packet.readByteArray()
            traffic.received(bytes.size)
            codec.decode<PeerMessage>(bytes).fold(
                ifLeft = { Part.MEMBERSHIP.warn("A datagram was dropped because of its ${it.name.lowercase()}.") },
                ifRight = { message -> if (message is Gossip) handle(message) },
            )
        }
    }

    private suspend fun handle(message: Gossip) {
        val content = message.toContent()
        node.receive(content, clock.now()).forEach { send(it) }
        revisionListener.onGossip(content)
    }
}
