package org.buckthornwheel.daemon.orders

import io.ktor.client.HttpClient
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.daemon.BackgroundLoops
import org.buckthornwheel.daemon.configuration.EstateHolder
import org.buckthornwheel.daemon.observability.Part
import org.buckthornwheel.decision.membership.Membership
import org.buckthornwheel.decision.orders.LoadPacing
import org.buckthornwheel.decision.orders.OrderLease
import org.buckthornwheel.decision.orders.OrderLimits
import org.buckthornwheel.decision.orders.OrderPlanner
import org.buckthornwheel.decision.routing.RendezvousHash
import org.buckthornwheel.platform.KeyValueStore
import org.buckthornwheel.settings.OrderSettings
import kotlin.time.Duration.Companion.milliseconds

/** Dependencies of the orders on other parts of the process. */
internal class OrderEnvironment(
    val candidate: OrderCandidate,
    val estate: EstateHolder,
    val membership: Membership,
    val store: KeyValueStore,
    val client: HttpClient,
    val isLeaving: () -> Boolean,
    val clock: MonotonicClock,
)

/** Wires the lease and the service that send orders to targets. */
internal class Orders(settings: OrderSettings, private val environment: OrderEnvironment) {
    private val limits =
        OrderLimits(settings.leaseMilliseconds.milliseconds, settings.longestOrderMilliseconds.milliseconds)
    private val lease = OrderLease(limits)
    private val pacing = LoadPacing(settings.loadIntervalMilliseconds.milliseconds, settings.loadsAtOnce)

    private val keeper = OrderLeaseKeeper(
        store = environment.store,
        lease = lease,
        limits = limits,
        candidate = environment.candidate,
        mayCompete = ::mayCompete,
        clock = environment.clock,
    )

    private val service = OrderService(
        zone = environment.candidate.zone,
        estate = environment.estate,
        lease = lease,
        planner = OrderPlanner(pacing),
        repository = ModelRepository(environment.client, limits.maximumOrderDuration),
        interval = settings.intervalMilliseconds.milliseconds,
        clock = environment.clock,
    )

    fun start(loops: BackgroundLoops) {
        loops.start(Part.ORDERS) { keeper.run() }
        loops.start(Part.ORDERS) { service.run() }
    }

    /** Only the hosts that rendezvous hashing ranks first compete, to limit load on the platform in a large zone. */
    private fun mayCompete(): Boolean {
        if (environment.isLeaving()) return false
        val own = environment.candidate.host
        val others = environment.membership.usable(environment.candidate.zone, environment.clock.now())
            .map { it.profile.name }
        return own in RendezvousHash.order(RENDEZVOUS_KEY, others + own) { it.value }.take(COMPETITORS)
    }

    private companion object {
        const val RENDEZVOUS_KEY = "order-sender"
        const val COMPETITORS = 2
    }
}
