package org.buckthornwheel.decision.routing

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.fleet.TargetRecord

/**
 * Chooses a target of the local zone.
 *
 * Requests with a common prompt prefix go to the same target, chosen by rendezvous hashing, as long as its load
 * does not exceed the mean by more than a limit: every host makes the same choice without communication. Other requests
 * go to the less loaded of two targets drawn by the request's seed, so that hosts with the same stale view do not all
 * send to one idle target.
 */
internal class LocalTargetSelector(private val targets: Array<PlannedTarget>, private val hosts: Int) {
    private var usable = 0
    private var ejected = 0
    private var load = 0L
    private var capacity = 0L
    private var requiredTier = Tier.NEVER

    /** The target for [request] at [now]; null if none is usable. */
    fun choose(request: RouteRequest, now: MonotonicInstant): PlannedTarget? {
        for (target in targets) countTarget(target, request, now)
        requiredTier = when {
            usable == 0 || ejected > usable -> Tier.HELD_BACK
            else -> Tier.USABLE
        }
        if (request.prefixHash != 0L) chooseByPrefix(request, now)?.let { return it }
        return chooseOfTwo(request, now)
    }

    private fun countTarget(target: PlannedTarget, request: RouteRequest, now: MonotonicInstant) {
        val record = target.shard.record
        val tier = tierOf(target, record, request, now)
        if (tier == Tier.USABLE) usable += 1
        if (tier == Tier.NEVER) return
        if (record.isEjected(now) && !record.isRefusing) ejected += 1
        load += record.expectedRequests(now, hosts)
        capacity += target.capacity
    }

    private fun chooseByPrefix(request: RouteRequest, now: MonotonicInstant): PlannedTarget? {
        val limitPerSlot = (load + 1) * RELATIVE_LOAD_LIMIT / capacity.coerceAtLeast(1)
        var best: PlannedTarget? = null
        var bestWeight = Long.MIN_VALUE
        for (target in targets) {
            val weight = HashMixing.mix(request.prefixHash, target.nameHash)
            if (best != null && weight <= bestWeight) continue
            val record = target.shard.record
            if (tierOf(target, record, request, now) < requiredTier) continue
            val limit = maxOf(limitPerSlot, MINIMUM_LOAD_LIMIT) * target.capacity
            if (record.expectedRequests(now, hosts) + 1 > limit) continue
            best = target
            bestWeight = weight
        }
        return best
    }

    private fun chooseOfTwo(request: RouteRequest, now: MonotonicInstant): PlannedTarget? {
        val one = draw(HashMixing.mix(request.seed, FIRST_DRAW), request, now) ?: return null
        val other = draw(HashMixing.mix(request.seed, SECOND_DRAW), request, now) ?: return one
        return if (utilization(other, now) < utilization(one, now)) other else one
    }

    private fun draw(hash: Long, request: RouteRequest, now: MonotonicInstant): PlannedTarget? {
        if (targets.isEmpty()) return null
        val start = HashMixing.index(hash, targets.size)
        for (step in targets.indices) {
            val target = targets[(start + step) % targets.size]
            if (tierOf(target, target.shard.record, request, now) >= requiredTier) return target
        }
        return null
    }

    private fun utilization(target: PlannedTarget, now: MonotonicInstant): Double =
        target.shard.record.expectedRequests(now, hosts).toDouble() / target.capacity

    private fun tierOf(target: PlannedTarget, record: TargetRecord, request: RouteRequest, now: MonotonicInstant): Int {
        if (record.isLeaving) return Tier.NEVER
        if (request.excluded.isNotEmpty() && target.item.name in request.excluded) return Tier.NEVER
        if (record.isRefusing) return if (record.isEjected(now)) Tier.NEVER else Tier.HELD_BACK
        if (record.isEjected(now)) return Tier.HELD_BACK
        if (record.slowStartFrom == null) return Tier.USABLE
        val drawn = HashMixing.fraction(HashMixing.mix(request.seed, target.nameHash))
        return if (drawn < record.slowStartShare(now)) Tier.USABLE else Tier.HELD_BACK
    }

    /** Eligibility of a target; held-back targets are used only if too few others are usable. */
    private object Tier {
        const val NEVER = 0
        const val HELD_BACK = 1
        const val USABLE = 2
    }

    private companion object {
        const val RELATIVE_LOAD_LIMIT = 1.25
        const val MINIMUM_LOAD_LIMIT = 0.5
        const val FIRST_DRAW = 1L
        const val SECOND_DRAW = 2L
    }
}
