package org.buckthornwheel.decision.account.share

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Use of one account at this host, with the part of it that other hosts may not know yet. Not thread-safe. */
internal class OwnUse {
    private class Told(val at: MonotonicInstant, val units: Double)

    private var used = 0.0
    private var offered = 0.0
    private var untold = 0.0
    private val told = ArrayDeque<Told>()
    private var lastUsed = 0L
    private var lastDemand = 0.0
    private var lastToldAt: MonotonicInstant? = null

    /** Units a second that callers asked for recently. */
    var demand: Double = 0.0
        private set

    /** The demand as the other hosts know it. */
    val toldDemand: Double get() = lastDemand

    /** Time of the last request. */
    var requestedAt: MonotonicInstant? = null
        private set

    /** Units that other hosts may not know of. */
    val unknown: Double get() = untold + told.sumOf { it.units }

    fun recordDemand(cost: Double, now: MonotonicInstant) {
        offered += cost
        requestedAt = now
    }

    /** Records [cost] admitted units; a negative number for units that were returned. */
    fun add(cost: Double) {
        used += cost
        untold += cost
    }

    /** Updates the demand at the end of a round that took [length]. */
    fun endRound(length: Duration, now: MonotonicInstant) {
        val seconds = length.toDouble(DurationUnit.SECONDS)
        val weight = minOf(1.0, seconds / DEMAND_MEMORY_SECONDS)
        if (seconds > 0) demand += weight * (offered / seconds - demand)
        if (demand < 1.0) demand = 0.0
        offered = 0.0
        while (told.isNotEmpty() && now - told.first().at >= HEARD_AFTER) told.removeFirst()
    }

    /** How much a report is due: the part of [limitUnits] by which the other hosts are mistaken. */
    fun urgency(limitUnits: Double, now: MonotonicInstant): Double {
        val age = lastToldAt?.let { (now - it) / REPEAT_AFTER } ?: 1.0
        val isUnused = untold == 0.0 && demand == 0.0 && lastDemand == 0.0
        if (isUnused && age > REPEATS) return 0.0
        val mistake = maxOf(0.0, untold) + Math.abs(demand - lastDemand) * DEMAND_SECONDS
        return mistake / limitUnits + age * AGE_WEIGHT
    }

    /** The report of this use, which other hosts know from [now] on. */
    fun tell(account: Long, now: MonotonicInstant): ReportedUse {
        told += Told(now, untold)
        untold = 0.0
        lastUsed = maxOf(lastUsed, used.toLong())
        lastDemand = demand
        lastToldAt = now
        return ReportedUse(account, lastUsed, demand.toLong())
    }

    private companion object {
        /** Time over which the demand is averaged; requests of a caller that moves are seen within two rounds. */
        const val DEMAND_MEMORY_SECONDS = 0.5

        /** Time for which a demand that others do not know makes them mistaken. */
        const val DEMAND_SECONDS = 0.25

        /** Weight of a report's age against its mistake. */
        const val AGE_WEIGHT = 0.01
        const val REPEATS = 4.0

        /** Time after which an unchanged use is told again, since reports get lost. */
        val REPEAT_AFTER = 1.seconds

        /** Time after which a report has reached all hosts: the longest interval of heartbeats, and their way. */
        val HEARD_AFTER = 600.milliseconds
    }
}
