package org.buckthornwheel.decision.routing

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.api.estate.PolicyItem
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides whether another zone pays, and which one.
 *
 * A request leaves only for a zone whose predicted wait, with the measured round trip and for another region the
 * operator's home bias, is below the wait at home. The share that leaves grows with the gain, so that hosts that
 * share one lagging summary do not all send there; once work leaves, a smaller gain keeps it going (hysteresis).
 */
internal class RemoteChoice(private val zoneStates: RemoteZoneStates) {
    private val budgets = LinkBudgets()
    private val leaving: MutableSet<WorkName> = ConcurrentHashMap.newKeySet()

    /** The zone that [request] should leave for although home, where it would wait [localWait], can serve it. */
    fun overflow(
        plan: RoutePlan,
        request: RouteRequest,
        localWait: Duration,
        terms: LinkTerms,
        now: MonotonicInstant,
    ): ZoneName? {
        val work = request.work ?: return null
        if (!request.mayForward || localWait <= Duration.ZERO) return null
        val bias = terms.homeBias * if (work in leaving) HYSTERESIS else 1.0
        val best = plan.permittedRemote(request)
            .mapNotNull { zone -> estimate(zone, work, bias, terms)?.let { Estimate(zone, it) } }
            .minByOrNull { it.wait }
        if (best == null || best.wait >= localWait) {
            leaving.remove(work)
            return null
        }
        leaving.add(work)
        val share = (localWait - best.wait) / localWait
        if (HashMixing.fraction(HashMixing.mix(request.seed, SHARE_DRAW)) >= share) return null
        return best.zone.name.takeIf { withinBudget(best.zone, request, terms, now) }
    }

    /** The zones for a [request] that home cannot serve, best first. */
    fun forced(plan: RoutePlan, request: RouteRequest, terms: LinkTerms, now: MonotonicInstant): List<ZoneName> {
        if (!request.mayForward) return emptyList()
        val zones = plan.permittedRemote(request)
            .map { zone -> Estimate(zone, estimate(zone, request.work, terms.homeBias, terms) ?: UNKNOWN_WAIT) }
            .sortedWith(compareBy({ it.wait }, { !it.zone.sameRegion }, { it.zone.name.value }))
        zones.firstOrNull()?.zone?.region?.takeIf { it != plan.region }
            ?.let { budgets.charge(it, request.bytes, terms.bytesPerSecond, now) }
        return zones.map { it.zone.name }
    }

    private fun estimate(zone: PlannedZone, work: WorkName?, bias: Duration, terms: LinkTerms): Duration? {
        if (work == null || !zoneStates.isReachable(zone.name)) return null
        val load = zoneStates.load(zone.name, work) ?: return null
        if (load.usableTargets == 0 || load.age > STALE_AFTER) return null
        val roundTrip = zoneStates.roundTrip(zone.name) ?: return null
        val wait = predictedWait(load.running + load.waiting, load.capacity, terms.requestDuration)
        return wait + roundTrip + if (zone.sameRegion) Duration.ZERO else bias
    }

    private fun withinBudget(
        zone: PlannedZone,
        request: RouteRequest,
        terms: LinkTerms,
        now: MonotonicInstant,
    ): Boolean {
        if (zone.sameRegion) return true
        val region = zone.region ?: return false
        return budgets.take(region, request.bytes, terms.bytesPerSecond, now)
    }

    private class Estimate(val zone: PlannedZone, val wait: Duration)

    private companion object {
        const val HYSTERESIS = 0.5
        const val SHARE_DRAW = 3L
        val UNKNOWN_WAIT = 3_600_000.milliseconds
        val STALE_AFTER = 10_000.milliseconds
    }
}

/** What leaving home costs: [homeBias], this host's [bytesPerSecond] on a link, and how long a request takes. */
internal class LinkTerms(val homeBias: Duration, val bytesPerSecond: Double, val requestDuration: Duration) {
    companion object {
        /** The terms of [policy] for one of [hosts] hosts of the zone. */
        fun of(policy: PolicyItem, hosts: Int, requestDuration: Duration): LinkTerms = LinkTerms(
            homeBias = policy.homeBiasMilliseconds.milliseconds,
            bytesPerSecond = policy.linkBytesPerSecond.toDouble() / hosts,
            requestDuration = requestDuration,
        )
    }
}

/** The time that a new request waits behind [requests] others for one of [capacity] places. */
internal fun predictedWait(requests: Int, capacity: Int, requestDuration: Duration): Duration {
    val ahead = requests + 1 - capacity
    if (ahead <= 0) return Duration.ZERO
    return requestDuration * ahead / capacity.coerceAtLeast(1)
}
