/*
 * All parts of one entry host, wired together: listeners, exchanges, heartbeats, and the way it starts and stops.
 */

package org.buckthornwheel.forwarding.host

import io.netty.channel.Channel
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.decision.attempt.WindowedRetryBudget
import org.buckthornwheel.decision.entry.EntryHosts
import org.buckthornwheel.decision.placement.Distances
import org.buckthornwheel.decision.placement.Placement
import org.buckthornwheel.decision.replica.RecentReads
import org.buckthornwheel.decision.replica.Replica
import org.buckthornwheel.decision.replica.ReplicaRegistry
import org.buckthornwheel.decision.shutdown.ShutdownAdmission
import org.buckthornwheel.forwarding.connection.TargetPool
import org.buckthornwheel.forwarding.dialect.RequestDialect
import org.buckthornwheel.forwarding.exchange.ClusterState
import org.buckthornwheel.forwarding.exchange.ForwardingContext
import org.buckthornwheel.forwarding.exchange.HostShutdown
import org.buckthornwheel.forwarding.exchange.Observability
import org.buckthornwheel.forwarding.front.CallerRequestStarter
import org.buckthornwheel.forwarding.front.EstateRequestStarter
import org.buckthornwheel.forwarding.front.InboundConnection
import org.buckthornwheel.forwarding.front.InboundConnections
import org.buckthornwheel.forwarding.front.InboundLimits
import org.buckthornwheel.forwarding.front.PeerRequestStarter
import org.buckthornwheel.forwarding.front.RequestStarter
import org.buckthornwheel.forwarding.listener.EndpointResponse
import org.buckthornwheel.forwarding.listener.HttpEndpoint
import org.buckthornwheel.forwarding.listener.Listeners
import org.buckthornwheel.forwarding.membership.EstateSync
import org.buckthornwheel.forwarding.membership.HeartbeatService
import org.buckthornwheel.forwarding.membership.LocalHostState
import org.buckthornwheel.forwarding.observability.DecisionLog
import org.buckthornwheel.forwarding.observability.ForwardingMeters
import org.buckthornwheel.forwarding.observability.LogPart
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The calls of the listeners that answer at once, in the words of a deployment. */
public interface HostEndpoints {
    /** Readiness, as [isReady] tells at each call. */
    public fun readiness(isReady: () -> Boolean): HttpEndpoint

    /** The directory, which asks [directory] for addresses. */
    public fun directory(directory: EntryDirectory): HttpEndpoint
}

/** One entry host. */
public class EntryHostProcess(
    private val settings: EntryHostSettings,
    private val services: HostEndpoints,
    dialect: RequestDialect,
    private val log: DecisionLog,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
) {
    /** The replicas, kept up to date by the deployment's adapter. */
    public val replicas: ReplicaRegistry = ReplicaRegistry()

    /** The manifest and closed zones, kept up to date by the deployment's adapter. */
    public val routingState: RoutingState = RoutingState(clock)

    /** The other hosts; the adapter adds those that are registered. */
    public val hosts: EntryHosts = EntryHosts(settings.self)

    /** What this host shares with hosts that are cut off from the store; set by the adapter before the start. */
    @Volatile
    public var estate: EstateSync = EstateSync.NONE

    /** The event loops, which the adapter's client shares. */
    public val loops: MultiThreadIoEventLoopGroup =
        MultiThreadIoEventLoopGroup(settings.eventLoops, NioIoHandler.newFactory())

    private val meters = ForwardingMeters(log::dropped)
    private val shutdown = HostShutdown()
    private val reads = RecentReads()
    private val context = ForwardingContext(
        dialect = dialect,
        clusterState = ClusterState(routingState, replicas, reads),
        hosts = hosts,
        placement = Placement(
            Distances(
                settings.self.region,
                settings.self.zone,
                CROSS_ZONE_ROUND_TRIP_MILLISECONDS,
                CROSS_REGION_ROUND_TRIP_MILLISECONDS,
            ),
            replicas,
            coldUse = { replica, now -> !isPaced(replica) || hosts.mayUseCold(replica.id, now) },
        ),
        budget = WindowedRetryBudget(
            settings.retryRatio,
            settings.retryAllowance,
            settings.retryWindow,
            RETRY_RATIO_SHARE,
            RETRY_ALLOWANCE_SHARE,
        ),
        observability = Observability(log, meters),
        shutdown = shutdown,
        clock = clock,
    )
    private val pools = ConcurrentHashMap<EventLoop, TargetPool>()
    private val front = InboundConnections(shutdown)
    private val peers = InboundConnections(shutdown)
    private val heartbeats = HeartbeatService(
        settings.self,
        hosts,
        replicas,
        reads,
        settings.bootstrapPeers,
        LocalHostState({ isReady }, { estate }),
        log,
        clock,
    )
    private val listeners = ArrayList<Channel>()

    /** Whether the host takes callers: it knows what to serve and is not leaving. */
    public val isReady: Boolean get() = !shutdown.hasBegun && routingState.manifest != null && replicas.size > 0

    /** Whether the host learns from primary hosts of its region what the store tells these. */
    public val followsPeers: Boolean get() = hosts.followsPeers(clock.now())

    /** Opens all listeners. */
    public fun start() {
        val open = Listeners(loops)
        heartbeats.start(loops)
        listeners += open.front(settings.self.peerAddress, { PEER_HEADER_BYTES }) {
            InboundConnection(peerStarter(it.eventLoop()), ::peerLimits, peers)
        }
        settings.readinessAddress?.let { address ->
            listeners += open.plain(address, services.readiness { isReady })
        }
        settings.directoryAddress?.let { listeners += open.plain(it, services.directory(directory())) }
        settings.metricsAddress?.let {
            listeners +=
                open.plain(it) { _, _ -> EndpointResponse(OK, body = meters.text()) }
        }
        listeners += open.front(settings.self.callerAddress, ::headerBytes) {
            InboundConnection(callerStarter(it.eventLoop()), ::callerLimits, front)
        }
        loops.next().scheduleWithFixedDelay(::closeIdleTargets, 1, 1, TimeUnit.SECONDS)
        log.write(LogPart.HOST, "started") {
            put("zone", settings.self.zone.value)
            put("incarnation", settings.self.incarnation.value)
        }
    }

    /** Graceful shutdown: callers are sent elsewhere, what arrives is served, requests in progress end. */
    public fun stop() {
        val begin = clock.now()
        val directoryExpiresAt = begin + settings.directoryTimeToLive + DRAIN_SLACK
        shutdown.begin(ShutdownAdmission(directoryExpiresAt, stopsAt = begin + settings.shutdownGrace))
        log.write(LogPart.HOST, "stopping") { put("connections", front.size) }
        loops.next().execute(heartbeats::sendToAll)
        while (clock.now() - begin < settings.shutdownGrace) {
            Thread.sleep(STOP_POLL_INTERVAL.inWholeMilliseconds)
            if (clock.now() < directoryExpiresAt) continue
            front.closeIdle()
            peers.closeIdle()
            if (front.size == 0 && peers.size == 0) break
        }
        log.write(LogPart.HOST, "stopped") { put("connections", front.size) }
        listeners.forEach { it.close() }
    }

    private fun directory(): EntryDirectory = EntryDirectory(hosts, routingState, { isReady }, clock)

    private fun pool(loop: EventLoop): TargetPool =
        pools.computeIfAbsent(loop) { TargetPool(it, meters::connectionOpened) }

    private fun callerStarter(loop: EventLoop): RequestStarter = CallerRequestStarter(context, pool(loop))

    private fun peerStarter(loop: EventLoop): RequestStarter = EstateRequestStarter({
        estate
    }, PeerRequestStarter(context, pool(loop)))

    /** Whether the service of [replica] bounds the requests that a cold one gets. */
    private fun isPaced(replica: Replica): Boolean =
        (routingState.manifest?.services?.get(replica.service)?.coldRequestsPerSecond ?: 0.0) > 0

    private fun headerBytes(): Int = routingState.manifest?.limits?.headerBytes ?: DEFAULT_HEADER_BYTES

    private fun callerLimits(): InboundLimits {
        val limits = routingState.manifest?.limits ?: return DEFAULT_LIMITS
        return InboundLimits(limits.bodyBytes, limits.headerTimeout, limits.idleTimeout)
    }

    private fun peerLimits(): InboundLimits = PEER_LIMITS

    private fun closeIdleTargets() {
        pools.forEach { (loop, pool) -> loop.execute(pool::closeIdle) }
    }

    private companion object {
        /** Both ways between two zones of a region, from the users' sheets (4 to 5.4 ms one way). */
        const val CROSS_ZONE_ROUND_TRIP_MILLISECONDS = 10.0

        /** Both ways between two regions, from the users' sheets (55 ms one way), and a little for the extra hop. */
        const val CROSS_REGION_ROUND_TRIP_MILLISECONDS = 118.0

        /** Share of the repeats for each request that is used; a little covers requests that end between windows. */
        const val RETRY_RATIO_SHARE = 0.95

        /** Share of the fixed allowance of repeats that is used; the rest covers hosts that are not heard. */
        const val RETRY_ALLOWANCE_SHARE = 0.7
        const val OK = 200

        /** Bounds before a manifest is known. */
        const val DEFAULT_HEADER_BYTES = 16_384
        val DEFAULT_LIMITS = InboundLimits(bodyBytes = 4_194_304, headerTimeout = 3.seconds, idleTimeout = 15.seconds)

        /** A caller's head and the envelope have to fit. */
        const val PEER_HEADER_BYTES = 65_536
        val PEER_LIMITS = InboundLimits(bodyBytes = 16_777_216, headerTimeout = 5.seconds, idleTimeout = 30.seconds)

        val STOP_POLL_INTERVAL = 50.milliseconds

        /** Time for a request that is on its way when the directory's answers have run out. */
        val DRAIN_SLACK = 500.milliseconds
    }
}
