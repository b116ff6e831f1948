package org.buckthornwheel.daemon.request

import io.ktor.client.HttpClient
import io.micrometer.core.instrument.MeterRegistry
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.daemon.BackgroundLoops
import org.buckthornwheel.daemon.action.ActionService
import org.buckthornwheel.daemon.action.ActionZone
import org.buckthornwheel.daemon.caller.RequestReader
import org.buckthornwheel.daemon.configuration.EstateHolder
import org.buckthornwheel.daemon.fleet.ZoneHostCount
import org.buckthornwheel.daemon.identity.AccountDirectory
import org.buckthornwheel.daemon.membership.AddressBook
import org.buckthornwheel.daemon.membership.MembershipParts
import org.buckthornwheel.daemon.observability.Part
import org.buckthornwheel.decision.admission.Admission
import org.buckthornwheel.decision.admission.AdmissionLimits
import org.buckthornwheel.decision.admission.LoadShedding
import org.buckthornwheel.decision.fleet.TargetFleet
import org.buckthornwheel.protocol.peer.PeerCodec
import org.buckthornwheel.settings.HostSettings
import kotlin.time.Duration.Companion.milliseconds

/** The HTTP clients for targets and other hosts, with the codec and the address mapping for other hosts. */
internal class RequestClients(
    val target: HttpClient,
    val peers: HttpClient,
    val codec: PeerCodec,
    val addresses: AddressBook,
)

/** The state of this host that decisions about requests depend on: estate, targets, membership and accounts. */
internal class HostState(
    val estate: EstateHolder,
    val fleet: TargetFleet,
    val membership: MembershipParts,
    val directory: AccountDirectory,
)

/** Creates and wires the components that process requests. */
internal class RequestParts(
    private val settings: HostSettings,
    clients: RequestClients,
    state: HostState,
    actionZone: ActionZone,
    inFlight: RequestsInFlight,
    private val registry: MeterRegistry,
    private val clock: MonotonicClock,
) {
    private val router = RouterFactory(
        zone = settings.host.zone,
        fleet = state.fleet,
        zoneStates = state.membership.zoneStates,
        hosts = ZoneHostCount(state.membership.membership, settings.host.zone, clock),
    ).create(settings.routing.policy)
    private val requestMeters = RequestMeters(registry)
    private val dispatcher = TargetDispatcher(
        client = UpstreamClient(clients.target, upstreamLimits(), requestMeters, clock),
        fleet = state.fleet,
        clock = clock,
        minimumAttemptTimeout = settings.timeouts.firstByteMilliseconds.milliseconds,
    )
    private val forwarder = PeerForwarder(
        client = UpstreamClient(clients.peers, upstreamLimits(), requestMeters, clock),
        codec = clients.codec,
        addresses = clients.addresses,
        host = settings.host.name,
        zone = settings.host.zone,
        clock = clock,
    )
    private val actions = ActionService(
        actions = actionZone,
        estate = state.estate,
        router = router,
        membership = state.membership.membership,
        dispatcher = dispatcher,
        forwarder = forwarder,
        inFlight = inFlight,
        clock = clock,
    )
    private val admission =
        Admission(AdmissionLimits(settings.limits.requestsInFlight)) { state.membership.remoteUsage.of(it) }
    private val shedding = LoadShedding(acceptable = 200.milliseconds)

    /** Admission control for requests of callers; also reports the usage of accounts at this host. */
    val gate: AdmissionGate = AdmissionGate(admission, shedding, state.estate, clock)
    private val attempts =
        RequestAttempts(state.estate, router, attemptRules(), state.membership.membership, requestMeters, clock)
    private val streams = StreamRelay(attempts, dispatcher, forwarder, requestMeters, inFlight)

    /** Processes each request. */
    val service: RequestService =
        RequestService(attempts, streams, dispatcher, forwarder, actions, gate, inFlight)

    /** Reads and validates the requests of callers and other hosts. */
    val reader: RequestReader =
        RequestReader(state.directory, state.estate, settings.limits, settings.timeouts, clock)

    /** Starts measuring the scheduling delay of this host, which load shedding depends on. */
    fun start(background: BackgroundLoops) {
        registry.gauge("buckthornwheel.requests.shed.share", shedding) { it.refusedShare }
        background.start(Part.REQUEST) { LatenessProbe(shedding, clock).run() }
    }

    private fun upstreamLimits(): UpstreamLimits = UpstreamLimits(
        firstByte = settings.timeouts.firstByteMilliseconds.milliseconds,
        betweenChunks = settings.timeouts.betweenChunksMilliseconds.milliseconds,
        responseBytes = settings.limits.answerBodyBytes,
    )
}
