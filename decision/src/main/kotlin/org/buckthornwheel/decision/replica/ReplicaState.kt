/*
 * The aggregate of one replica: its registration, the work in flight, its health as its answers show it, and the pace
 * at which a cold replica may be used.
 */

package org.buckthornwheel.decision.replica

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** How an attempt at a replica ended, as far as the replica's health is concerned. */
public enum class ReplicaAttemptResult {
    /** A whole answer. */
    ANSWERED,

    /** The replica refused without running the request. */
    REFUSED,

    /** An answer that tells of a failure of the replica. */
    ERROR,

    /** No whole answer: reset, silence, or bytes that are no answer. */
    BROKEN,

    /** The caller left or its time ran out; says nothing about the replica. */
    ABANDONED,
}

/**
 * What a host knows of one replica. All access goes through its own lock.
 *
 * @param tokenCapacity tokens that the replica's memory holds; 0 if it is not an engine.
 */
public class ReplicaState(registered: Replica, private var tokenCapacity: Long) {
    private val lock = Any()
    private var replica = registered
    private var own = ReplicaLoad.NONE
    private val reportedByHosts = HashMap<HostName, HostReport>()
    private var cache = PromptCache((tokenCapacity * CACHE_SHARE).toLong())
    private var averageService: Duration? = null
    private var slowness = 1.0
    private var failures = 0
    private var outUntil: MonotonicInstant? = null
    private var refusedUntil: MonotonicInstant? = null
    private var coldUntil: MonotonicInstant? = null
    private var nextColdSend: MonotonicInstant? = null
    private var waitingSince: MonotonicInstant? = null
    private var told: ToldLoad? = null

    /** Requests of other hosts, as an answer of the replica told. */
    private class ToldLoad(val requestsOfOthers: Int, val at: MonotonicInstant)

    private class HostReport(val load: ReplicaLoad, val heardAt: MonotonicInstant)

    /** The registration that is in force. */
    public val current: Replica get() = synchronized(lock) { replica }

    /** Work of this host at the replica. */
    public val ownLoad: ReplicaLoad get() = synchronized(lock) { own }

    /** Takes over a changed registration; a new start has an empty memory. */
    public fun register(changed: Replica, capacity: Long): Unit = synchronized(lock) {
        if (capacity != tokenCapacity) {
            tokenCapacity = capacity
            cache = PromptCache((capacity * CACHE_SHARE).toLong())
        }
        if (changed.startedAt != replica.startedAt) {
            cache.clear()
            failures = 0
            outUntil = null
            slowness = 1.0
        }
        replica = changed
    }

    /** Marks the replica as cold until [until], unless it is known to be cold for longer. */
    public fun markColdUntil(until: MonotonicInstant): Unit = synchronized(lock) {
        if (isBefore(until, coldUntil)) return@synchronized
        coldUntil = until
    }

    /** Notes the [load] that [host] has at the replica. */
    public fun recordHostLoad(host: HostName, load: ReplicaLoad, now: MonotonicInstant): Unit = synchronized(lock) {
        if (load.requests == 0) reportedByHosts.remove(host) else reportedByHosts[host] = HostReport(load, now)
    }

    /** The replica told with an answer that it has [requests] from all hosts; newer than what hosts tell each other. */
    public fun recordSelfReportedLoad(requests: Int, now: MonotonicInstant): Unit = synchronized(lock) {
        told = ToldLoad(maxOf(0, requests - own.requests), now)
    }

    /** Another host had the replica read [parts]. */
    public fun recordPrefill(parts: List<PromptPart>): Unit = synchronized(lock) { cache.remember(parts) }

    /** What a placement needs to know at [now] for a prompt of [parts]. */
    public fun snapshot(parts: List<PromptPart>, now: MonotonicInstant): ReplicaSnapshot = synchronized(lock) {
        ReplicaSnapshot(
            replica = replica,
            load = totalLoad(now),
            tokenCapacity = tokenCapacity,
            cachedTokens = cache.cachedTokens(parts),
            averageService = averageService,
            slowness = slowness,
            isOut = isBefore(now, outUntil) || isBefore(now, refusedUntil) || isSilent(now),
            isCold = isBefore(now, coldUntil),
            mayTakeColdRequest = !isBefore(now, nextColdSend),
        )
    }

    /** Counts a request that is being sent; a cold replica then rests for [coldPause]. */
    public fun recordStart(
        work: ReplicaLoad,
        parts: List<PromptPart>,
        coldPause: Duration,
        now: MonotonicInstant,
    ): Unit = synchronized(lock) {
        if (own.requests == 0) waitingSince = now
        own += work
        cache.remember(parts)
        if (isBefore(now, coldUntil)) nextColdSend = now + coldPause
    }

    /** Notes bytes from the replica; [prefillTokens] are read now, and the first event took [firstEvent]. */
    public fun recordProgress(
        prefillTokens: Long,
        firstEvent: Duration?,
        predicted: Duration?,
        now: MonotonicInstant,
    ): Unit = synchronized(lock) {
        own = own.copy(prefillTokens = maxOf(0, own.prefillTokens - prefillTokens))
        waitingSince = now
        if (firstEvent == null || predicted == null) return@synchronized
        val ratio = firstEvent / maxOf(predicted, LEAST_PREDICTION)
        slowness = smoothed(slowness, ratio.coerceIn(LEAST_SLOWNESS, GREATEST_SLOWNESS))
    }

    /** Counts the end of a request that held [work] for [took], and found [ahead] requests when it was sent. */
    public fun recordEnd(
        work: ReplicaLoad,
        result: ReplicaAttemptResult,
        took: Duration,
        ahead: Int,
        now: MonotonicInstant,
    ): Unit = synchronized(lock) {
        own = ReplicaLoad(
            maxOf(0, own.requests - work.requests),
            maxOf(0, own.tokens - work.tokens),
            maxOf(0, own.prefillTokens - work.prefillTokens),
        )
        waitingSince = if (own.requests == 0) null else now
        when (result) {
            ReplicaAttemptResult.ANSWERED -> answered(took, ahead)
            ReplicaAttemptResult.REFUSED -> refusedUntil = now + REFUSAL_PAUSE
            ReplicaAttemptResult.ERROR, ReplicaAttemptResult.BROKEN -> failed(now)
            ReplicaAttemptResult.ABANDONED -> Unit
        }
    }

    /** The average is that of a slot's use: the wait behind requests that were ahead is not part of it. */
    private fun answered(took: Duration, ahead: Int) {
        failures = 0
        val slots = maxOf(1, replica.slots)
        val service = took * slots / maxOf(slots, ahead + 1)
        val average = averageService ?: service
        averageService = average + (service - average) * SMOOTHING
    }

    private fun failed(now: MonotonicInstant) {
        failures += 1
        if (failures >= FAILURES_TO_EJECT) {
            val doublings = minOf(failures - FAILURES_TO_EJECT, MAXIMUM_DOUBLINGS)
            outUntil = now + EJECTION * (1 shl doublings)
        }
    }

    private fun totalLoad(now: MonotonicInstant): ReplicaLoad {
        var others = ReplicaLoad.NONE
        for (report in reportedByHosts.values) {
            if (now - report.heardAt <= REPORT_LIFE) others += report.load
        }
        val newest = told
        if (newest != null && now - newest.at <= TOLD_LIFE) others = others.copy(requests = newest.requestsOfOthers)
        return own + others
    }

    private fun isSilent(now: MonotonicInstant): Boolean {
        val since = waitingSince ?: return false
        return now - since > SILENCE
    }

    private fun isBefore(now: MonotonicInstant, until: MonotonicInstant?): Boolean = until != null && now < until

    private fun smoothed(old: Double, sample: Double): Double = old + (sample - old) * SMOOTHING

    private companion object {
        /** Share of a replica's memory that holds idle prompt parts beside running requests; from the users' sheet. */
        const val CACHE_SHARE = 0.6

        /** Weight of the newest sample in a moving average; about the last ten samples count. */
        const val SMOOTHING = 0.15

        /** Broken answers in a row after which a replica rests; one alone may be the request's fault. */
        const val FAILURES_TO_EJECT = 3
        const val MAXIMUM_DOUBLINGS = 2

        /** First rest of a failing replica; short, so that one which is well again is missed only briefly. */
        val EJECTION = 1.seconds

        /** Rest after a refusal: a few batch steps, in which a slot becomes free. */
        val REFUSAL_PAUSE = 60.milliseconds

        /** Age at which another host's report is worth nothing; four of its reporting intervals. */
        val REPORT_LIFE = 1.seconds

        /** Age up to which a replica's own figure is better than those of the hosts, which come four times a second. */
        val TOLD_LIFE = 150.milliseconds

        /** Time without any byte, with requests in flight, after which no more are sent. */
        val SILENCE = 1.5.seconds

        val LEAST_PREDICTION = 30.milliseconds
        const val LEAST_SLOWNESS = 0.5
        const val GREATEST_SLOWNESS = 12.0
    }
}

/** A copy of what is known of a replica at one moment, as a placement needs it. */
public data class ReplicaSnapshot(
    public val replica: Replica,
    public val load: ReplicaLoad,
    public val tokenCapacity: Long,
    public val cachedTokens: Int,
    public val averageService: Duration?,
    public val slowness: Double,
    public val isOut: Boolean,
    public val isCold: Boolean,
    public val mayTakeColdRequest: Boolean,
) {
    /** Average time of a request in milliseconds, [default] before the first answer. */
    public fun averageMilliseconds(default: Double): Double =
        averageService?.toDouble(DurationUnit.MILLISECONDS) ?: default
}
