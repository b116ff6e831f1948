package org.buckthornwheel.daemon

import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.daemon.action.ActionZone
import org.buckthornwheel.daemon.administration.AdministrationAccess
import org.buckthornwheel.daemon.administration.AdministrationRoutes
import org.buckthornwheel.daemon.administration.AdministrationViews
import org.buckthornwheel.daemon.administration.AuditRecorder
import org.buckthornwheel.daemon.administration.NoteRoutes
import org.buckthornwheel.daemon.audit.PlatformAuditTrail
import org.buckthornwheel.daemon.caller.CallerMeters
import org.buckthornwheel.daemon.caller.CallerRoutes
import org.buckthornwheel.daemon.caller.EntryHostList
import org.buckthornwheel.daemon.configuration.ConfigurationFollower
import org.buckthornwheel.daemon.configuration.EstateHolder
import org.buckthornwheel.daemon.configuration.NoteLog
import org.buckthornwheel.daemon.configuration.NoteSubmitter
import org.buckthornwheel.daemon.configuration.PeerNoteFetcher
import org.buckthornwheel.daemon.configuration.WatchDuty
import org.buckthornwheel.daemon.fleet.LoadPoller
import org.buckthornwheel.daemon.identity.AccountDirectory
import org.buckthornwheel.daemon.membership.AddressBook
import org.buckthornwheel.daemon.membership.HostListPoller
import org.buckthornwheel.daemon.membership.MembershipContext
import org.buckthornwheel.daemon.membership.MembershipParts
import org.buckthornwheel.daemon.observability.Part
import org.buckthornwheel.daemon.orders.OrderCandidate
import org.buckthornwheel.daemon.orders.OrderEnvironment
import org.buckthornwheel.daemon.orders.Orders
import org.buckthornwheel.daemon.peer.PeerCallHandler
import org.buckthornwheel.daemon.peer.PeerCaller
import org.buckthornwheel.daemon.peer.PeerRoutes
import org.buckthornwheel.daemon.request.HostState
import org.buckthornwheel.daemon.request.RequestClients
import org.buckthornwheel.daemon.request.RequestParts
import org.buckthornwheel.daemon.request.RequestsInFlight
import org.buckthornwheel.decision.fleet.FleetLimits
import org.buckthornwheel.decision.fleet.TargetFleet
import org.buckthornwheel.decision.ledger.RegisteredHost
import org.buckthornwheel.platform.EtcdKeyValueStore
import org.buckthornwheel.platform.HttpHostList
import org.buckthornwheel.platform.ScimClientDirectory
import org.buckthornwheel.protocol.peer.MessageSigner
import org.buckthornwheel.protocol.peer.PeerCodec
import org.buckthornwheel.protocol.peer.SigningKey
import org.buckthornwheel.settings.HostSettings
import java.time.Instant
import java.util.Base64
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Wires, starts and stops all parts of one entry host's process. */
internal class Gateway(private val settings: HostSettings) {
    private val clock = MonotonicClock.SYSTEM
    private val localHost = LocalHost(settings, Incarnation(System.currentTimeMillis()))
    private val timeouts = settings.timeouts
    private val platformTimeout = timeouts.platformCallMilliseconds.milliseconds
    private val clientFactory = HttpClientFactory(timeouts)
    private val platformClient = clientFactory.create()
    private val targetClient = clientFactory.create()
    private val peerClient = clientFactory.create()
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val codec = PeerCodec(signer(), MAXIMUM_PEER_MESSAGE_BYTES)
    private val addresses = AddressBook(settings.addressMappings)
    private val inFlight = RequestsInFlight()
    private val stopping = AtomicBoolean()

    private val store = EtcdKeyValueStore(platformClient, settings.platform.keyValueService, platformTimeout)
    private val hostList =
        HostListPoller(HttpHostList(platformClient, settings.platform.hostList, platformTimeout))
    private val directory =
        AccountDirectory(
            ScimClientDirectory(platformClient, settings.platform.clientDirectory, platformTimeout),
            Instant::now,
        )

    private val estate = EstateHolder()
    private val noteLog = NoteLog(store)
    private val submitter = NoteSubmitter(settings.host.name, noteLog, estate, System::currentTimeMillis)

    private val fleet = TargetFleet(FleetLimits(failuresToEject = 5, ejectionTime = 5.seconds))
    private val membershipParts = MembershipParts(membershipContext(), codec, addresses, registry, clock)
    private val membership = membershipParts.membership
    private val watchDuty = WatchDuty(localHost::profile, membership, clock)
    private val follower = ConfigurationFollower(store, noteLog, estate, watchDuty)
    private val peerCaller = PeerCaller(peerClient, codec, addresses, PEER_CALL_TIMEOUT)
    private val peerNoteFetcher = PeerNoteFetcher(estate, membership, peerCaller)
    private val poller = LoadPoller(targetClient, settings.host.zone, estate, fleet, clock)
    private val actionZone = ActionZone(
        self = RegisteredHost(settings.host.name, localHost.incarnation, localHost.profile().peerAddress.toString()),
        zone = settings.host.zone,
        settings = settings.actions,
        store = store,
        caller = peerCaller,
        registry = registry,
        clock = clock,
    )
    private val requests = RequestParts(
        settings = settings,
        clients = RequestClients(targetClient, peerClient, codec, addresses),
        state = HostState(estate, fleet, membershipParts, directory),
        actionZone = actionZone,
        inFlight = inFlight,
        registry = registry,
        clock = clock,
    )

    private val audit = PlatformAuditTrail(store, clock, registry)
    private val callers =
        Listener(settings.listen.callers.address(), settings.tls.callers, stopping::get) {
            callerRoutes().install(this)
        }
    private val peers =
        Listener(settings.listen.peers.address(), isStopping = stopping::get) { peerRoutes().install(this) }
    private val administration =
        Listener(settings.listen.administration.address(), settings.tls.administration, stopping::get) {
            administrationRoutes().install(this)
        }

    private val orders = Orders(settings.orders, orderEnvironment())
    private val background = BackgroundLoops()
    private val ended = CountDownLatch(1)

    /** Starts every part; returns when the listeners accept connections. */
    fun start() {
        JvmMemoryMetrics().bindTo(registry)
        registry.gauge("buckthornwheel.requests.in.flight", inFlight) { it.current.toDouble() }
        registry.gauge("buckthornwheel.estate.revision", estate) { it.current().revision.value.toDouble() }
        peers.start()
        administration.start()
        membershipParts.transport.revisionListener = peerNoteFetcher.listener
        background.start(Part.CONFIGURATION) { follower.run() }
        background.start(Part.CONFIGURATION) { peerNoteFetcher.run() }
        background.start(Part.CONFIGURATION) { estate.appliedRevision.collect { membershipParts.transport.announce() } }
        background.start(Part.MEMBERSHIP) { hostList.run() }
        background.start(Part.DIRECTORY) { directory.run() }
        background.start(Part.MEMBERSHIP) { membershipParts.transport.run() }
        background.start(Part.FLEET) { poller.run() }
        requests.start(background)
        orders.start(background)
        actionZone.start(background)
        background.start(Part.AUDIT) { audit.run() }
        callers.start()
        Part.GATEWAY.info("Host ${settings.host.name} of zone ${settings.host.zone} is serving.")
    }

    /** Waits until [stop] has finished. */
    fun awaitEnd(): Unit = ended.await()

    /** Shuts down gracefully: announces that the host is leaving, answers every request, then closes the listeners. */
    fun stop() {
        if (!stopping.compareAndSet(false, true)) return
        Part.GATEWAY.info("Shutting down; ${inFlight.current} requests are in progress.")
        localHost.markLeaving()
        runBlocking {
            membershipParts.transport.announce()
            delay(LEAVE_ANNOUNCEMENT_DELAY)
            inFlight.shutDown(timeouts.shutdownGraceMilliseconds.milliseconds)
            actionZone.leave()
        }
        listOf(callers, peers, administration).forEach { it.stop() }
        background.stop()
        listOf(platformClient, targetClient, peerClient).forEach { it.close() }
        Part.GATEWAY.info("The shutdown is complete.")
        ended.countDown()
    }

    private fun signer(): MessageSigner =
        MessageSigner(settings.sharedKeys.map { SigningKey(it.identifier, Base64.getDecoder().decode(it.secret)) })

    private fun membershipContext(): MembershipContext = MembershipContext(
        settings = settings,
        profile = localHost::profile,
        estate = estate,
        fleet = fleet,
        localUsage = { requests.gate.current() },
        seedAddresses = { settings.bootstrapHosts.map { it.address() } + hostList.addresses() },
    )

    private fun orderEnvironment(): OrderEnvironment = OrderEnvironment(
        candidate = OrderCandidate(settings.host.name, settings.host.zone, localHost.incarnation),
        estate = estate,
        membership = membership,
        store = store,
        client = targetClient,
        isLeaving = { localHost.profile().leaving },
        clock = clock,
    )

    private fun callerRoutes(): CallerRoutes = CallerRoutes(
        requests.reader,
        requests.service,
        EntryHostList(membership, localHost::profile, clock),
        inFlight,
        CallerMeters(registry),
    )

    private fun peerRoutes(): PeerRoutes =
        PeerRoutes(codec, requests.reader, requests.service, peerCallHandler(), inFlight, estate, clock)

    private fun peerCallHandler(): PeerCallHandler = PeerCallHandler(estate, actionZone.handler)

    private val recorder = AuditRecorder(audit, settings.host.name, System::currentTimeMillis)

    private fun administrationRoutes(): AdministrationRoutes = AdministrationRoutes(
        host = settings.host.name,
        access = AdministrationAccess(settings.administration.tokens),
        estate = estate,
        notes = NoteRoutes(estate, submitter, recorder),
        recorder = recorder,
        views = AdministrationViews(
            localHost::profile,
            estate,
            membership,
            fleet,
            directory,
            registry,
            clock,
        ),
        drain = { background.launch { stop() } },
    )

    private companion object {
        const val MAXIMUM_PEER_MESSAGE_BYTES = 1_048_576
        val LEAVE_ANNOUNCEMENT_DELAY = 2.seconds
        val PEER_CALL_TIMEOUT = 2.seconds
    }
}
