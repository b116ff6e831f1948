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

/** How this host reaches targets and other hosts. */
internal class RequestClients(
    val target: HttpClient,
    val peers: HttpClient,
    val codec: PeerCodec,
    val addresses: AddressBook,
)

/** What a request is decided upon: the estate, the targets, the other hosts and the accounts. */
internal class HostState(
    val estate: EstateHolder,
    val fleet: TargetFleet,
    val membership: MembershipParts,
    val directory: AccountDirectory,
)

/** The parts that take a request from its first decision to its answer, wired together. */
internal class RequestParts(
    private val settings: HostSettings,
    clients: RequestClients,
    knowledge: HostState,
    actionZone: ActionZone,
    inFlight: RequestsInFlight,
    private val registry: MeterRegistry,
    private val clock: MonotonicClock,
) {
    private val router = RouterFactory(
        zone = settings.host.zone,
        fleet = knowledge.fleet,
        zoneStates = knowledge.membership.zoneStates,
        hosts = ZoneHostCount(knowledge.membership.membership, settings.host.zone, clock),
    ).of(settings.routing.policy)
    private val requestMeters = RequestMeters(registry)
    private val dispatcher = TargetDispatcher(
        client = UpstreamClient(clients.target, upstreamLimits(), requestMeters, clock),
        fleet = knowledge.fleet,
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
        estate = knowledge.estate,
        router = router,
        membership = knowledge.membership.membership,
        dispatcher = dispatcher,
        forwarder = forwarder,
        inFlight = inFlight,
        clock = clock,
    )
    private val admission =
        Admission(AdmissionLimits(settings.limits.requestsInFlight)) { knowledge.membership.usageElsewhere.of(it) }
    private val shedding = LoadShedding(acceptable = 200.milliseconds)

    /** Lets requests in, and knows what accounts use here. */
    val gate: AdmissionGate = AdmissionGate(admission, shedding, knowledge.estate, clock)
    private val attempts =
        RequestAttempts(knowledge.estate, router, attemptRules(), knowledge.membership.membership, requestMeters, clock)
    private val streams = StreamRelay(attempts, dispatcher, forwarder, requestMeters)

    /** Takes each request to its answer. */
    val service: RequestService = RequestService(attempts, streams, dispatcher, forwarder, actions, gate)

    /** Reads what callers and other hosts send. */
    val reader: RequestReader =
        RequestReader(knowledge.directory, knowledge.estate, settings.limits, settings.timeouts, clock)

    /** Starts watching how late this host is with its work. */
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
