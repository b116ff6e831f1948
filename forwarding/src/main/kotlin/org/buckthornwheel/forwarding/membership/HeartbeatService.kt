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
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.decision.entry.EntryHostProfile
import org.buckthornwheel.decision.entry.KnownEntryHosts
import org.buckthornwheel.decision.quarantine.ReplicaRun
import org.buckthornwheel.decision.replica.PromptPart
import org.buckthornwheel.decision.replica.RecentPrefills
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.decision.replica.ReplicaLoad
import org.buckthornwheel.decision.replica.ReplicaRegistry
import org.buckthornwheel.forwarding.observability.DecisionLog
import org.buckthornwheel.forwarding.observability.LogPart
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What the heartbeats of this host report: whether it serves callers and client accounts, its estate revision and the
 * version of its manifest, the quarantine, the use of accounts, and the limits of replicas. What other hosts say of
 * their revisions is passed to [onReported].
 */
internal class LocalHostState(
    val isReady: () -> Boolean,
    val estate: () -> EstateSync,
    val quarantine: QuarantineSharing,
    val manifest: ManifestInForce,
    val accounts: AccountSharing,
    val limits: ReplicaLimitSharing,
    val onReported: (HostName, EstateRevision) -> Unit,
)

/** Sends this host's heartbeats to the hosts that need them, and processes the heartbeats of other hosts. */
internal class HeartbeatService(
    private val self: EntryHostProfile,
    private val hosts: KnownEntryHosts,
    private val replicas: ReplicaRegistry,
    private val reads: RecentPrefills,
    private val seedAddresses: List<NetworkAddress>,
    private val local: LocalHostState,
    private val log: DecisionLog,
    private val clock: MonotonicClock,
) {
    private val description = SenderDescription.of(self)
    private lateinit var channel: Channel
    private lateinit var recovery: EstateRecovery
    private var rounds = 0
    private var quarantineMessage: QuarantineMessage? = null

    fun start(group: EventLoopGroup) {
        channel = Bootstrap().group(group).channel(NioDatagramChannel::class.java)
            .handler(Receiver())
            .bind(InetSocketAddress(self.peerAddress.host, self.peerAddress.port)).sync().channel()
        recovery = EstateRecovery(
            self,
            local.estate,
            local.manifest,
            { hosts.followsPrimaries(clock.now()) },
            channel.eventLoop(),
            log,
        )
        channel.eventLoop().scheduleWithFixedDelay(::sendAndLogFailure, 0, INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    /** An exception would end the periodic task, and other hosts would take this one for dead. */
    private fun sendAndLogFailure() {
        try {
            send()
        } catch (failure: RuntimeException) {
            log.write(LogPart.MEMBERSHIP, "heartbeats not sent") { put("reason", failure.toString()) }
        }
    }

    /** Sends a heartbeat to each host for which one is due. */
    private fun send() {
        val now = clock.now()
        quarantineMessage = local.quarantine.update(now)
        val work = ownWork()
        val activity = Activity(work, ownReads(now))
        val intervals = hosts.heartbeatIntervals(busy = work.isNotEmpty(), now)
        val isUrgent = local.quarantine.takeUrgency()
        local.accounts.endRound(intervals.values, now)
        local.limits.endRound(
            intervals.count { (host, interval) ->
                host.region == self.region && interval <= ROUND
            },
            now,
        )
        for ((host, interval) in intervals) {
            if (isUrgent ||
                isDue(host, interval)
            ) {
                send(host, interval, activity.takeIf { interval <= ACTIVITY_INTERVAL })
            }
        }
        if (rounds % SEED_ROUNDS == 0) sendToSeedAddresses(intervals.keys.mapTo(HashSet()) { it.peerAddress })
        rounds += 1
        channel.flush()
        hosts.removeExpired(now)
        recovery.check(now)
    }

    /** Sends a heartbeat to all known hosts immediately, when this host begins to shut down. */
    fun sendToAll() {
        for (host in hosts.all()) send(host, LEAVING_INTERVAL, activity = null)
        channel.flush()
    }

    private fun isDue(host: EntryHostProfile, interval: Duration): Boolean {
        val every = maxOf(1, (interval.inWholeMilliseconds / INTERVAL_MILLISECONDS).toInt())
        return (rounds + Math.floorMod(host.name.value.hashCode(), every)) % every == 0
    }

    private fun sendToSeedAddresses(known: Set<NetworkAddress>) {
        for (address in seedAddresses) {
            if (address !in known && address != self.peerAddress) write(address, heartbeat(SEED_INTERVAL, null))
        }
    }

    private fun send(host: EntryHostProfile, interval: Duration, activity: Activity?) {
        val limits = local.limits.message(interval).takeIf { host.region == self.region }
        write(host.peerAddress, heartbeat(interval, activity).copy(limits = limits))
    }

    private fun heartbeat(interval: Duration, activity: Activity?): Heartbeat {
        val estate = local.estate().revision
        return Heartbeat(
            description,
            local.isReady(),
            interval.inWholeMilliseconds,
            activity,
            estate.number,
            quarantineMessage,
            local.manifest.refusesAccounts,
            local.accounts.message(interval),
            leaving = ownLeaving().ifEmpty { null },
            era = estate.era,
            manifestVersion = local.manifest.version,
        )
    }

    private fun ownLeaving(): List<LeavingReplica> =
        replicas.leavingToReport(clock.now()).map { LeavingReplica(it.replica.value, it.startedAt) }

    private fun write(address: NetworkAddress, heartbeat: Heartbeat) {
        val receiver = InetSocketAddress(address.host, address.port)
        channel.write(DatagramPacket(Unpooled.wrappedBuffer(heartbeat.encode()), receiver))
    }

    private fun ownWork(): List<ReplicaWork> = replicas.all().mapNotNull { state ->
        val load = state.ownLoad
        if (load.requests == 0) return@mapNotNull null
        ReplicaWork(state.current.id.value, load.requests, load.tokens, load.prefillTokens)
    }

    private fun ownReads(now: MonotonicInstant): List<ReplicaRead> = reads.toReport(now).map { read ->
        ReplicaRead(read.replica.value, read.parts.map { ReadPart(it.id, it.tokens) })
    }

    private fun receive(heartbeat: Heartbeat) {
        val now = clock.now()
        if (hosts.recordHeartbeat(
                heartbeat.sender.host,
                heartbeat.isReady,
                heartbeat.intervalMilliseconds.milliseconds,
                now,
                heartbeat.refusesAccounts,
            )
        ) {
            log.write(LogPart.MEMBERSHIP, "host alive") {
                put("peer", heartbeat.sender.name.value)
                put("incarnation", heartbeat.sender.incarnation.value)
            }
        }
        local.onReported(heartbeat.sender.name, heartbeat.estateRevision)
        recovery.onHeartbeat(heartbeat.sender.host, heartbeat.estateRevision, heartbeat.manifestVersion, now)
        heartbeat.activity?.let { applyActivity(heartbeat.sender.name, it, now) }
        heartbeat.leaving?.let { recordLeaving(it, heartbeat.sender.name) }
        local.accounts.receive(heartbeat.sender.host, heartbeat.accounts, now)
        local.limits.receive(heartbeat.sender.host, heartbeat.limits, now)
        heartbeat.quarantine?.let { local.quarantine.receive(it, heartbeat.sender.name.value, now) }
    }

    private fun recordLeaving(leaving: List<LeavingReplica>, sender: HostName) {
        for (replica in leaving.take(MAXIMUM_LEAVING)) {
            if (!replicas.recordLeaving(ReplicaRun(ReplicaId(replica.replica), replica.startedAt), at = null)) continue
            log.write(LogPart.REPLICA, "announced leaving") {
                put("replica", replica.replica)
                put("run", replica.startedAt)
                put("peer", sender.value)
            }
        }
    }

    private fun applyActivity(sender: HostName, activity: Activity, now: MonotonicInstant) {
        val loads = activity.work.associate { work ->
            ReplicaId(work.replica) to ReplicaLoad(work.requests, work.tokens, work.prefillTokens)
        }
        replicas.recordHostLoads(sender, loads, now)
        for (read in activity.reads) {
            replicas.find(ReplicaId(read.replica))?.recordPrefill(read.parts.map { PromptPart(it.id, it.tokens) })
        }
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            val heartbeat = Heartbeat.decode(ByteBufUtil.getBytes(packet.content()))
            if (heartbeat == null) {
                log.write(LogPart.MEMBERSHIP, "unreadable datagram") { put("peer", packet.sender().toString()) }
                return
            }
            receive(heartbeat)
        }

        @Deprecated("Netty's own signature")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            log.write(LogPart.MEMBERSHIP, "datagram failed") { put("reason", cause.toString()) }
        }
    }

    companion object {
        /** Interval between rounds: a sixth of the silence after which a host is considered dead. */
        private const val INTERVAL_MILLISECONDS = 250L

        /** Interval between rounds, and thus the shortest between heartbeats to the same host. */
        val ROUND: Duration = INTERVAL_MILLISECONDS.milliseconds

        /** Limit on what a damaged heartbeat can do. */
        const val MAXIMUM_LEAVING = 64

        /** Number of rounds between heartbeats to those seed addresses that are not known hosts. */
        private const val SEED_ROUNDS = 4
        private val SEED_INTERVAL = 1.seconds

        /** Hosts with a longer heartbeat interval do not share replicas with this one and get no activity. */
        private val ACTIVITY_INTERVAL = 500.milliseconds

        /** Interval announced by a host that shuts down; it keeps sending heartbeats while it serves requests. */
        private val LEAVING_INTERVAL = 1.seconds
    }
}
