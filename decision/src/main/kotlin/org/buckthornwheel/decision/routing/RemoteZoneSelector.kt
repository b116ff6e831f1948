package org.buckthornwheel.decision.routing

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.api.estate.PolicyItem
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides whether a request is forwarded to another zone, and to which one.
 *
 * A request overflows only to a zone whose delay is below the predicted wait in the local zone. The delay is the
 * predicted wait there plus the measured round trip and, for another region, the operator's home bias. The share of
 * requests that overflow grows with the gain, so that hosts with the same lagging summary do not all send to the same
 * zone. Once requests overflow, a smaller gain is enough to continue (hysteresis).
 */
internal class RemoteZoneSelector(private val zoneStates: RemoteZoneStates) {
    private val budgets = LinkBudgets()
    private val overflowing: MutableSet<WorkName> = ConcurrentHashMap.newKeySet()

    /** The zone to forward [request] to although the local zone can serve it after [localWait]; null to stay. */
    fun overflowZone(
        plan: RoutePlan,
        request: RouteRequest,
        localWait: Duration,
        costs: ForwardingCosts,
        now: MonotonicInstant,
    ): ZoneName? {
        val work = request.work ?: return null
        if (!request.mayForward || localWait <= Duration.ZERO) return null
        val bias = costs.homeBias * if (work in overflowing) HYSTERESIS_FACTOR else 1.0
        val best = plan.permittedRemote(request)
            .mapNotNull { zone -> estimatedDelay(zone, work, bias, costs)?.let { Estimate(zone, it) } }
            .minByOrNull { it.delay }
        if (best == null || best.delay >= localWait) {
            overflowing.remove(work)
            return null
        }
        overflowing.add(work)
        val share = (localWait - best.delay) / localWait
        if (HashMixing.fraction(HashMixing.mix(request.seed, SHARE_DRAW)) >= share) return null
        return best.zone.name.takeIf { withinBudget(best.zone, request, costs, now) }
    }

    /** The zones for a [request] that the local zone cannot serve, best first. */
    fun fallbackZones(
        plan: RoutePlan,
        request: RouteRequest,
        costs: ForwardingCosts,
        now: MonotonicInstant,
    ): List<ZoneName> {
        if (!request.mayForward) return emptyList()
        val zones = plan.permittedRemote(request)
            .map { zone -> Estimate(zone, estimatedDelay(zone, request.work, costs.homeBias, costs) ?: UNKNOWN_DELAY) }
            .sortedWith(compareBy({ it.delay }, { !it.zone.sameRegion }, { it.zone.name.value }))
        zones.firstOrNull()?.zone?.region?.takeIf { it != plan.region }
            ?.let { budgets.consume(it, request.bytes, costs.bytesPerSecond, now) }
        return zones.map { it.zone.name }
    }

    private fun estimatedDelay(zone: PlannedZone, work: WorkName?, bias: Duration, costs: ForwardingCosts): Duration? {
        if (work == null || !zoneStates.isReachable(zone.name)) return null
        val load = zoneStates.load(zone.name, work) ?: return null
        if (load.usableTargets == 0 || load.age > STALE_AFTER) return null
        val roundTrip = zoneStates.roundTrip(zone.name) ?: return null
        val wait = predictedWait(load.running + load.waiting, load.capacity, costs.requestDuration)
        return wait + roundTrip + if (zone.sameRegion) Duration.ZERO else bias
    }

    private fun withinBudget(
        zone: PlannedZone,
        request: RouteRequest,
        costs: ForwardingCosts,
        now: MonotonicInstant,
    ): Boolean {
        if (zone.sameRegion) return true
        val region = zone.region ?: return false
        return budgets.tryConsume(region, request.bytes, costs.bytesPerSecond, now)
    }

    private class Estimate(val zone: PlannedZone, val delay: Duration)

    private companion object {
        const val HYSTERESIS_FACTOR = 0.5
        const val SHARE_DRAW = 3L
        val UNKNOWN_DELAY = 3_600_000.milliseconds
        val STALE_AFTER = 10_000.milliseconds
    }
}

/** Costs of forwarding: [homeBias], this host's [bytesPerSecond] on a link, and the usual [requestDuration]. */
internal class ForwardingCosts(val homeBias: Duration, val bytesPerSecond: Double, val requestDuration: Duration) {
    companion object {
        /** The costs under [policy] for one of [hosts] hosts of the zone. */
        fun of(policy: PolicyItem, hosts: Int, requestDuration: Duration): ForwardingCosts = ForwardingCosts(
            homeBias = policy.homeBiasMilliseconds.milliseconds,
            bytesPerSecond = policy.linkBytesPerSecond.toDouble() / hosts,
            requestDuration = requestDuration,
        )
    }
}

/** The time that a new request waits behind [requests] others for one of [capacity] slots. */
internal fun predictedWait(requests: Int, capacity: Int, requestDuration: Duration): Duration {
    val ahead = requests + 1 - capacity
    if (ahead <= 0) return Duration.ZERO
    return requestDuration * ahead / capacity.coerceAtLeast(1)
}
