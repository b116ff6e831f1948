/*
 * Wires together the components of an entry host (listeners, request forwarding, heartbeats), and starts and stops it.
 */

package org.buckthornwheel.forwarding.host

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.decision.account.share.SharedAccountQuotas
import org.buckthornwheel.decision.account.share.SharedReplicaLimits
import org.buckthornwheel.decision.account.share.SharingScope
import org.buckthornwheel.decision.attempt.HedgePolicy
import org.buckthornwheel.decision.attempt.WindowedRetryBudget
import org.buckthornwheel.decision.entry.EntryQuotaSharers
import org.buckthornwheel.decision.entry.KnownEntryHosts
import org.buckthornwheel.decision.entry.SharedBudgets
import org.buckthornwheel.decision.placement.Distances
import org.buckthornwheel.decision.placement.Placement
import org.buckthornwheel.decision.quarantine.PromptPartQuarantine
import org.buckthornwheel.decision.quarantine.QuarantineChange
import org.buckthornwheel.decision.replica.RecentPrefills
import org.buckthornwheel.decision.replica.Replica
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.decision.replica.ReplicaRegistry
import org.buckthornwheel.decision.startup.StartupAdmission
import org.buckthornwheel.decision.version.StreamVersions
import org.buckthornwheel.decision.version.VersionHistory
import org.buckthornwheel.forwarding.connection.TargetKey
import org.buckthornwheel.forwarding.connection.TargetPool
import org.buckthornwheel.forwarding.dialect.RequestDialect
import org.buckthornwheel.forwarding.exchange.Budgets
import org.buckthornwheel.forwarding.exchange.ClusterState
import org.buckthornwheel.forwarding.exchange.ForwardingContext
import org.buckthornwheel.forwarding.exchange.HostShutdown
import org.buckthornwheel.forwarding.exchange.Observability
import org.buckthornwheel.forwarding.exchange.PlaceQueues
import org.buckthornwheel.forwarding.exchange.Places
import org.buckthornwheel.forwarding.exchange.ReplicaLimits
import org.buckthornwheel.forwarding.exchange.RequestPolicy
import org.buckthornwheel.forwarding.exchange.Retries
import org.buckthornwheel.forwarding.exchange.RetryGrantCall
import org.buckthornwheel.forwarding.exchange.RetryGrants
import org.buckthornwheel.forwarding.exchange.RunInquiries
import org.buckthornwheel.forwarding.front.CallerRequestStarter
import org.buckthornwheel.forwarding.front.HostCallStarter
import org.buckthornwheel.forwarding.front.InboundConnection
import org.buckthornwheel.forwarding.front.InboundLimits
import org.buckthornwheel.forwarding.front.PeerRequestStarter
import org.buckthornwheel.forwarding.front.RequestStarter
import org.buckthornwheel.forwarding.listener.EndpointResponse
import org.buckthornwheel.forwarding.listener.HttpEndpoint
import org.buckthornwheel.forwarding.listener.Listeners
import org.buckthornwheel.forwarding.listener.OpenListener
import org.buckthornwheel.forwarding.membership.AccountSharing
import org.buckthornwheel.forwarding.membership.EstateCall
import org.buckthornwheel.forwarding.membership.EstateInForceCall
import org.buckthornwheel.forwarding.membership.EstateInquiry
import org.buckthornwheel.forwarding.membership.EstateRecovery
import org.buckthornwheel.forwarding.membership.EstateRevision
import org.buckthornwheel.forwarding.membership.EstateSync
import org.buckthornwheel.forwarding.membership.HeartbeatService
import org.buckthornwheel.forwarding.membership.LocalHostState
import org.buckthornwheel.forwarding.membership.QuarantineSharing
import org.buckthornwheel.forwarding.membership.ReplicaLimitSharing
import org.buckthornwheel.forwarding.observability.DecisionLog
import org.buckthornwheel.forwarding.observability.ForwardingMeters
import org.buckthornwheel.forwarding.observability.LogPart
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The readiness and directory endpoints, in the HTTP interface of a deployment. */
public interface HostEndpoints {
    /** The readiness endpoint; [isReady] is evaluated at each call. */
    public fun readiness(isReady: () -> Boolean): HttpEndpoint

    /** The directory endpoint, which serves addresses from [directory]. */
    public fun directory(directory: EntryDirectory): HttpEndpoint
}

/** One entry host. */
public class EntryHostProcess(
    private val settings: EntryHostSettings,
    private val endpoints: HostEndpoints,
    dialect: RequestDialect,
    private val log: DecisionLog,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
) {
    /** The replicas, kept up to date by the deployment's adapter. */
    public val replicas: ReplicaRegistry = ReplicaRegistry()

    /** The manifest and closed zones, kept up to date by the deployment's adapter. */
    public val routingState: RoutingState = RoutingState(clock)

    /** Whether the account keys of the manifest are current; the adapter reports its reads of the store to it. */
    public val currency: ManifestCurrency = ManifestCurrency(settings.revocationBound, routingState, clock)

    /** The other entry hosts; the adapter adds the registered ones. */
    public val hosts: KnownEntryHosts = KnownEntryHosts(settings.self)

    /** Exchange of estate changes with hosts that cannot reach the store; set by the adapter before the start. */
    @Volatile
    public var estate: EstateSync = EstateSync.NONE

    private val versionSharing =
        VersionSharing(settings.self, hosts, replicas, routingState, log, clock) { service, history ->
            onVersionsDue(service, history)
        }

    /** The software versions of streams. */
    public val versions: StreamVersions get() = versionSharing.versions

    /** Called with the history of a service that this host should record; set by the adapter before the start. */
    @Volatile
    public var onVersionsDue: (ServiceName, VersionHistory) -> Unit = { _, _ -> }

    /** Called when this host itself quarantines or releases a prompt part; set by the adapter before the start. */
    @Volatile
    public var onQuarantineDecision: (QuarantineChange) -> Unit = {}

    /** The event loops, which the adapter's HTTP clients use too. */
    public val loops: MultiThreadIoEventLoopGroup =
        MultiThreadIoEventLoopGroup(settings.eventLoops, NioIoHandler.newFactory())

    private val shutdown = HostShutdown()
    private val limits = HostLimits(settings.machine, log, shutdown)
    private val meters = ForwardingMeters(log::dropped, limits::addTo)
    private val observability = Observability(log, meters)
    private val reads = RecentPrefills()
    private val quarantine = PromptPartQuarantine()
    private val sharedBudgets =
        SharedBudgets(hosts, settings.settlingTime, settings.retrySettlingTime, routingState::knownSince)
    private val placement = Placement(
        Distances(
            settings.self.region,
            settings.self.zone,
            CROSS_ZONE_ROUND_TRIP_MILLISECONDS,
            CROSS_REGION_ROUND_TRIP_MILLISECONDS,
        ),
        replicas,
        coldReplicaPolicy = { replica, now ->
            !isColdRateLimited(replica) || sharedBudgets.mayUseColdReplica(replica.id, now)
        },
    )
    private val quotas = SharedAccountQuotas(
        EntryQuotaSharers(settings.self, hosts, settings.settlingTime, routingState::knownSince),
        startedAt = clock.now(),
    ) { ThreadLocalRandom.current().nextDouble() }
    private val sharedReplicaLimits = SharedReplicaLimits(
        EntryQuotaSharers(
            settings.self,
            hosts,
            settings.settlingTime,
            routingState::knownSince,
            SharingScope.OWN_REGION,
        ),
        startedAt = clock.now(),
    ) { ThreadLocalRandom.current().nextDouble() }
    private val retries = Retries(
        WindowedRetryBudget(
            settings.retryRatio,
            settings.retryAllowance,
            settings.retryWindow,
            RETRY_RATIO_SHARE,
            RETRY_ALLOWANCE_SHARE,
        ),
        sharedBudgets,
    )
    private val replicaLimits = ReplicaLimits(sharedReplicaLimits, observability)
    private val context = ForwardingContext(
        dialect = dialect,
        clusterState = ClusterState(routingState, replicas, reads, quarantine, currency, versions),
        hosts = hosts,
        places = Places(placement, PlaceQueues(settings.waiting.limits, observability, clock, ::waitsInOrder)),
        budgets = Budgets(retries, HedgePolicy(settings.hedging), quotas, replicaLimits),
        observability = observability,
        shutdown = shutdown,
        clock = clock,
    )
    private val hostCalls = mapOf(
        EstateRecovery.PATH to EstateCall({ estate }, log),
        EstateInquiry.PATH to EstateInForceCall { estate },
        RetryGrantCall.PATH to RetryGrantCall(retries, clock),
    )
    private val runInquiries = RunInquiries(dialect, replicas, routingState, log, clock)
    private val pools = ConcurrentHashMap<EventLoop, TargetPool>()
    private val retryGrants = ConcurrentHashMap<EventLoop, RetryGrants>()
    private val callerResources = limits.inbound(limits.callers, ::callerLimits, ::headerBytes)
    private val peerResources = limits.inbound(limits.peers, ::peerLimits) { PEER_HEADER_BYTES }
    private val quarantineSharing =
        QuarantineSharing(quarantine, replicas, log, ::isRecorder, ::recheckQuarantine) { onQuarantineDecision(it) }
    private val heartbeats = HeartbeatService(
        settings.self,
        hosts,
        replicas,
        reads,
        settings.seedAddresses,
        LocalHostState(
            { isReady },
            { estate },
            quarantineSharing,
            currency,
            AccountSharing(quotas),
            ReplicaLimitSharing(sharedReplicaLimits, replicaLimits, replicas),
            { host, revision -> versionSharing.recordReported(host, revision, estate.revision) },
        ),
        log,
        clock,
    )
    private val listeners = ArrayList<OpenListener>()
    private val gracefulShutdown =
        GracefulShutdown(settings, shutdown, listOf(limits.callers, limits.peers), listeners, loops, log, clock)

    /** Whether the host serves callers: it has a manifest and replicas and is not shutting down. */
    public val isReady: Boolean get() = !shutdown.hasBegun && routingState.manifest != null && replicas.size > 0

    /** Whether the host gets estate changes from primary hosts of its region instead of the store. */
    public val followsPrimaries: Boolean get() = hosts.followsPrimaries(clock.now())

    /** The prompt parts whose requests are rejected. */
    public val quarantinedParts: Set<String> get() = quarantine.parts

    /** Opens all listeners. */
    public fun start() {
        val factory = Listeners(loops)
        heartbeats.start(loops)
        listeners += factory.openProxy(settings.self.peerAddress, limits.peers.group) {
            InboundConnection(it, peerStarter(it.eventLoop()), peerResources)
        }
        val startup = StartupAdmission(clock.now())
        listeners += factory.openProxy(settings.self.callerAddress, limits.callers.group) {
            InboundConnection(it, callerStarter(it.eventLoop(), startup), callerResources)
        }
        // The platform sends callers to a host as soon as it says that it is ready.
        openEndpoint(factory, settings.readinessAddress, "readiness", endpoints.readiness { isReady })
        openEndpoint(factory, settings.directoryAddress, "directory", endpoints.directory(directory()))
        openEndpoint(factory, settings.metricsAddress, "metrics") { _, _ -> EndpointResponse(OK, body = meters.text()) }
        limits.startRelieving(loops)
        val timer = loops.next()
        timer.scheduleWithFixedDelay(::closeIdleTargets, 1, 1, TimeUnit.SECONDS)
        timer.scheduleWithFixedDelay(
            versionSharing::updateAndLogFailure,
            0,
            VersionSharing.CHECK_MILLISECONDS,
            TimeUnit.MILLISECONDS,
        )
        log.write(LogPart.HOST, "started") {
            put("zone", settings.self.zone.value)
            put("incarnation", settings.self.incarnation.value)
        }
    }

    /** Shuts down gracefully: directs callers to other hosts, and completes late requests and those in progress. */
    public fun stop(): Unit = gracefulShutdown.run(announce = { loops.next().execute(heartbeats::sendToAll) })

    /** Applies the software versions of [service] that the store holds as of [revision]; null if it holds none. */
    public fun versionsRecorded(service: ServiceName, history: VersionHistory?, revision: EstateRevision): Unit =
        versionSharing.applyStored(service, history, revision)

    /** Records that this host has just learned of all changes of the estate. */
    public fun estateCurrent(): Unit = versions.recordCurrent(clock.now())

    /** Asks other hosts what they have in force, on [loop]. */
    public fun estateInquiry(loop: EventLoop): EstateInquiry = EstateInquiry(settings.self, loop, log, clock)

    /** Adds a prompt [part] that a host quarantined [age] ago, according to the adapter's records. */
    public fun quarantineRecorded(part: String, age: Duration): Unit =
        quarantineSharing.addRecorded(part, age, clock.now())

    private fun openEndpoint(factory: Listeners, address: NetworkAddress?, name: String, endpoint: HttpEndpoint) {
        if (address != null) listeners += factory.openEndpoint(address, limits.endpoint(name, endpoint))
    }

    private fun directory(): EntryDirectory = EntryDirectory(hosts, routingState, { isReady }, currency, clock)

    private fun pool(loop: EventLoop): TargetPool = pools.computeIfAbsent(loop) {
        TargetPool(it, limits.memory.responses, meters::connectionOpened, ::isLeaving, runInquiries::onSignOfEnd)
    }

    private fun isLeaving(key: TargetKey): Boolean = replicas.isLeaving(ReplicaId(key.owner))

    private fun callerStarter(loop: EventLoop, startup: StartupAdmission): RequestStarter =
        CallerRequestStarter(context, pool(loop), startup)

    private fun peerStarter(loop: EventLoop): RequestStarter =
        HostCallStarter(hostCalls, PeerRequestStarter(context, pool(loop), grants(loop)))

    private fun grants(loop: EventLoop): RetryGrants =
        retryGrants.computeIfAbsent(loop) { RetryGrants(hosts, it, clock, log) }

    /** Whether the service of [replica] limits the request rate of cold replicas. */
    private fun isColdRateLimited(replica: Replica): Boolean =
        routingState.manifest?.services?.get(replica.service)?.limitsColdReplicas ?: false

    /** By default, requests wait in order where callers compete as accounts, or for replicas that share machines. */
    private fun waitsInOrder(policy: RequestPolicy): Boolean = when (settings.waiting.order) {
        WaitingOrder.ORDERED -> true
        WaitingOrder.UNORDERED -> false
        WaitingOrder.AUTOMATIC -> policy.account != null || replicas.shareMachines
    }

    private fun isRecorder(suspect: String): Boolean = hosts.mayProbe(suspect, clock.now())

    private fun recheckQuarantine() {
        limits.callers.recheckQuarantine()
        limits.peers.recheckQuarantine()
    }

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
        /** Round trip between two zones of a region, from the users' data sheets (4 to 5.4 ms one way). */
        const val CROSS_ZONE_ROUND_TRIP_MILLISECONDS = 10.0

        /** Round trip between two regions, from the users' data sheets (55 ms one way), plus the extra hop. */
        const val CROSS_REGION_ROUND_TRIP_MILLISECONDS = 118.0

        /** Share of the retry ratio that is used; the rest covers requests that end between windows. */
        const val RETRY_RATIO_SHARE = 0.95

        /** Share of the fixed retry allowance that is used; the rest covers hosts whose heartbeats do not arrive. */
        const val RETRY_ALLOWANCE_SHARE = 0.7
        const val OK = 200

        /** Limits while no manifest is known. */
        const val DEFAULT_HEADER_BYTES = 16_384
        val DEFAULT_LIMITS = InboundLimits(bodyBytes = 4_194_304, headerTimeout = 3.seconds, idleTimeout = 15.seconds)

        /** Large enough for a caller's head and the envelope. */
        const val PEER_HEADER_BYTES = 65_536
        val PEER_LIMITS = InboundLimits(bodyBytes = 16_777_216, headerTimeout = 5.seconds, idleTimeout = 30.seconds)
    }
}
