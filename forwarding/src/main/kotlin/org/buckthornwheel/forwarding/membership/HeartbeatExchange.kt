package org.buckthornwheel.forwarding.membership

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.decision.entry.EntryHost
import org.buckthornwheel.decision.entry.EntryHosts
import org.buckthornwheel.decision.replica.PromptPart
import org.buckthornwheel.decision.replica.RecentReads
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.decision.replica.ReplicaLoad
import org.buckthornwheel.decision.replica.ReplicaRegistry
import org.buckthornwheel.forwarding.observability.DecisionLog
import org.buckthornwheel.forwarding.observability.LogPart
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** Sends this host's heartbeats to all known hosts and takes in theirs. */
internal class HeartbeatExchange(
    private val self: EntryHost,
    private val hosts: EntryHosts,
    private val replicas: ReplicaRegistry,
    private val reads: RecentReads,
    private val introductions: List<NetworkAddress>,
    private val isReady: () -> Boolean,
    private val log: DecisionLog,
    private val clock: MonotonicClock,
) {
    private lateinit var channel: Channel
    private var rounds = 0

    fun start(group: EventLoopGroup) {
        channel = Bootstrap().group(group).channel(NioDatagramChannel::class.java)
            .handler(Receiver())
            .bind(InetSocketAddress(self.peerAddress.host, self.peerAddress.port)).sync().channel()
        channel.eventLoop().scheduleWithFixedDelay(::send, 0, INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    /** Sends one heartbeat to each known host now. */
    fun send() {
        val bytes = Heartbeat.of(self, isReady(), ownWork(), ownReads()).encode()
        val known = hosts.all().mapTo(LinkedHashSet()) { it.peerAddress }
        if (rounds++ % INTRODUCTION_ROUNDS == 0) known += introductions
        known -= self.peerAddress
        for (address in known) {
            val receiver = InetSocketAddress(address.host, address.port)
            channel.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), receiver))
        }
        channel.flush()
        hosts.forgetOld(clock.now())
    }

    private fun ownWork(): List<ReplicaWork> = replicas.all().mapNotNull { state ->
        val load = state.ownLoad
        if (load.requests == 0) return@mapNotNull null
        ReplicaWork(state.current.id.value, load.requests, load.tokens, load.prefillTokens)
    }

    private fun ownReads(): List<ReplicaRead> = reads.news(clock.now()).map { read ->
        ReplicaRead(read.replica.value, read.parts.map { ReadPart(it.id, it.tokens) })
    }

    private fun receive(beat: Heartbeat) {
        val now = clock.now()
        if (hosts.heard(beat.host, beat.isReady, now)) {
            log.write(LogPart.MEMBERSHIP, "host alive") {
                put("peer", beat.name.value)
                put("incarnation", beat.incarnation.value)
            }
        }
        val loads = beat.work.associate { work ->
            ReplicaId(work.replica) to ReplicaLoad(work.requests, work.tokens, work.prefillTokens)
        }
        replicas.reported(beat.name, loads, now)
        for (read in beat.reads) {
            replicas.find(ReplicaId(read.replica))?.hasRead(read.parts.map { PromptPart(it.id, it.tokens) })
        }
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            val beat = Heartbeat.decode(ByteBufUtil.getBytes(packet.content()))
            if (beat == null) {
                log.write(LogPart.MEMBERSHIP, "unreadable datagram") { put("peer", packet.sender().toString()) }
                return
            }
            receive(beat)
        }

        @Deprecated("Netty's own signature")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            log.write(LogPart.MEMBERSHIP, "datagram failed") { put("reason", cause.toString()) }
        }
    }

    private companion object {
        /** Pause between heartbeats: a fifth of the silence after which a host counts as dead. */
        const val INTERVAL_MILLISECONDS = 250L

        /** Each so many heartbeats also go to the addresses of the settings. */
        const val INTRODUCTION_ROUNDS = 4
    }
}
