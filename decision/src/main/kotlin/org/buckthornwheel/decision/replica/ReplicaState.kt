package org.buckthornwheel.decision.replica

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.quarantine.ReplicaRun
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Result of an attempt at a replica, as far as it concerns the health of the replica. */
public enum class ReplicaAttemptResult {
    /** The replica sent a complete response. */
    ANSWERED,

    /** The replica rejected the request without running it. */
    REFUSED,

    /** The replica responded with an error of its own. */
    ERROR,

    /** No complete response: connection reset, timeout, or malformed data. */
    BROKEN,

    /** The caller disconnected or the deadline passed, which says nothing about the health of the replica. */
    ABANDONED,
}

/**
 * State of one replica as known to this host, guarded by its own lock.
 *
 * Consists of the registration, the load in flight, the health derived from responses, and the pace of requests to a
 * cold replica.
 *
 * @param tokenCapacity number of tokens that fit into the replica's memory; 0 if the replica is not an engine.
 */
public class ReplicaState(registered: Replica, private var tokenCapacity: Long) {
    private val lock = Any()
    private var replica = registered
    private var own = ReplicaLoad.NONE
    private val loadByHost = HashMap<HostName, HostReport>()
    private var cache = PromptCache((tokenCapacity * PREFIX_CACHE_SHARE).toLong())
    private var averageServiceTime: Duration? = null
    private var slowness = 1.0
    private val admission = ReplicaAdmission()
    private var coldUntil: MonotonicInstant? = null
    private val coldPace = ColdPace()
    private var awaitingBytesSince: MonotonicInstant? = null
    private var selfReportedLoad: SelfReportedLoad? = null

    /** Requests of other hosts, computed from a load that the replica reported in a response. */
    private class SelfReportedLoad(val requests: Int, val at: MonotonicInstant)

    private class HostReport(val load: ReplicaLoad, val receivedAt: MonotonicInstant)

    /** The current registration. */
    public val current: Replica get() = synchronized(lock) { replica }

    /** Load that this host's requests put on the replica. */
    public val ownLoad: ReplicaLoad get() = synchronized(lock) { own }

    /**
     * Applies a changed registration, by which the replica is cold until [newColdUntil] unless it is known to be cold
     * for longer. After a restart of the replica, its cache is empty and its health unknown.
     */
    public fun register(
        changed: Replica,
        capacity: Long,
        newColdUntil: MonotonicInstant? = null,
    ): Unit = synchronized(lock) {
        if (capacity != tokenCapacity) {
                tokenCapacity = capacity
                cache = PromptCache((capacity * PREFIX_CACHE_SHARE).toLong())
            }
            if (changed.startedAt != replica.startedAt) {
                cache.clear()
                admission.restart(changed.startedAt)
                slowness = 1.0
                    coldPace.awaitUnpaced()
            }
            replica = changed
            }

    /** Records that the run that started at [startedAt] announced that it is leaving. */
    public fun recordLeaving(startedAt: Long): Unit = synchronized(lock) {
        if (startedAt == replica.startedAt) admission.recordLeaving()
    }

    /** Records that the run that started at [startedAt] is presumed to be leaving until [until]. */
    internal fun presumeLeaving(startedAt: Long, until: MonotonicInstant): Unit = synchronized(lock) {
        if (startedAt == replica.startedAt) admission.presumeLeaving(until)
    }

    /**
     * Records that the run that started at [startedAt] wants no requests for [pause], as of [now], which is
     * [unixMilliseconds] in Unix milliseconds if that is given.
     */
    public fun recordPause(
        startedAt: Long,
        pause: Duration,
        now: MonotonicInstant,
        unixMilliseconds: Long? = null,
    ): Unit = synchronized(lock) {
        if (startedAt == replica.startedAt) admission.recordPause(pause, now, unixMilliseconds)
    }

    /**
     * Records that a response of the run that started at [startedAt], to a request sent at [sentAt], named the limit
     * [requestsPerSecond], or none if that is null. Returns the change of the limit in force, if any.
     */
    public fun recordLimit(
        startedAt: Long,
        requestsPerSecond: Double?,
        sentAt: MonotonicInstant,
        now: MonotonicInstant,
    ): LimitChange? = synchronized(lock) {
        if (startedAt == replica.startedAt) admission.requestLimit.record(requestsPerSecond, sentAt, now) else null
    }

    /** Records the limit that the replica [named] to another host; returns the change of the limit in force, if any. */
    public fun recordToldLimit(named: NamedLimit, now: MonotonicInstant): LimitChange? = synchronized(lock) {
        if (named.run.startedAt != replica.startedAt) return@synchronized null
        admission.requestLimit.recordTold(named.requestsPerSecond, now + -named.age, now)
    }

    /** The requests a second that the run that started at [startedAt] takes at [now]; null without a limit. */
    public fun requestLimit(startedAt: Long, now: MonotonicInstant): Double? = synchronized(lock) {
        if (startedAt == replica.startedAt) admission.requestLimit.current(now) else null
    }

    /** The limit that the replica named to this host; null for none. */
    public fun limitToReport(now: MonotonicInstant): NamedLimit? = synchronized(lock) {
        admission.requestLimit.toReport(ReplicaRun(replica.id, replica.startedAt), now)
    }

    /** Why the replica gets no new request at [now]; null if it may. */
    public fun restriction(now: MonotonicInstant): ReplicaRestriction? =
        synchronized(lock) { admission.restriction(replica, own.requests, isSilent(now), now) }

    /** Marks the replica as cold until [until], unless it is known to be cold for longer. */
    public fun markColdUntil(until: MonotonicInstant): Unit = synchronized(lock) { extendCold(until) }

    private fun extendCold(until: MonotonicInstant) {
        if (!isBefore(until, coldUntil)) coldUntil = until
    }

    /** Records the [load] that [host] reports to have at the replica. */
    public fun recordHostLoad(host: HostName, load: ReplicaLoad, now: MonotonicInstant): Unit = synchronized(lock) {
        if (load.requests == 0) loadByHost.remove(host) else loadByHost[host] = HostReport(load, now)
    }

    /** Records the [requests] of all hosts that the replica reported in a response; newer than the hosts' reports. */
    public fun recordSelfReportedLoad(requests: Int, now: MonotonicInstant): Unit = synchronized(lock) {
        selfReportedLoad = SelfReportedLoad(maxOf(0, requests - own.requests), now)
    }

    /** Records that the replica prefilled [parts] for another host. */
    public fun recordPrefill(parts: List<PromptPart>): Unit = synchronized(lock) { cache.add(parts) }

    /** The state at [now], as far as the placement of a prompt of [parts] needs it. */
    public fun snapshot(parts: List<PromptPart>, now: MonotonicInstant): ReplicaSnapshot = synchronized(lock) {
        ReplicaSnapshot(
            replica = replica,
            load = totalLoad(now),
            tokenCapacity = tokenCapacity,
            cachedTokens = cache.cachedTokens(parts),
            averageServiceTime = averageServiceTime,
            slowness = slowness,
            restriction = admission.restriction(replica, own.requests, isSilent(now), now),
            isCold = isCold(now),
            canSendColdRequest = coldPace.permits(now),
        )
    }

    /**
     * Records that a request is sent; a cold replica gets the next one after [coldRequestInterval] at the earliest.
     *
     * @return whether the request was taken of the pace of a cold replica.
     */
    public fun recordStart(
        work: ReplicaLoad,
        parts: List<PromptPart>,
        coldRequestInterval: Duration,
        now: MonotonicInstant,
    ): Boolean = synchronized(lock) {
        if (own.requests == 0) awaitingBytesSince = now
        own += work
        cache.add(parts)
        if (isCold(now)) return@synchronized coldPace.take(coldRequestInterval, now)
        coldPace.recordUnpaced(now)
        false
    }

    private fun isCold(now: MonotonicInstant): Boolean = isBefore(now, coldUntil)

    /**
     * Records that bytes arrived from the replica, which has now prefilled [prefillTokens] more tokens.
     *
     * [timeToFirstEvent] is given for the first event, together with the [predicted] time.
     */
    public fun recordProgress(
        prefillTokens: Long,
        timeToFirstEvent: Duration?,
        predicted: Duration?,
        now: MonotonicInstant,
    ): Unit = synchronized(lock) {
        own = own.copy(prefillTokens = maxOf(0, own.prefillTokens - prefillTokens))
        awaitingBytesSince = now
        if (timeToFirstEvent == null || predicted == null) return@synchronized
        val ratio = timeToFirstEvent / maxOf(predicted, MINIMUM_PREDICTION)
        slowness = movingAverage(slowness, ratio.coerceIn(MINIMUM_SLOWNESS, MAXIMUM_SLOWNESS))
    }

    /** Records the end of a request that caused [work] for [duration]; [ahead] requests were in flight before it. */
    public fun recordEnd(
        work: ReplicaLoad,
        result: ReplicaAttemptResult,
        duration: Duration,
        ahead: Int,
        now: MonotonicInstant,
    ): Unit = synchronized(lock) {
        own = ReplicaLoad(
            maxOf(0, own.requests - work.requests),
            maxOf(0, own.tokens - work.tokens),
            maxOf(0, own.prefillTokens - work.prefillTokens),
        )
        awaitingBytesSince = if (own.requests == 0) null else now
        when (result) {
            ReplicaAttemptResult.ANSWERED -> recordSuccess(duration, ahead)
            ReplicaAttemptResult.REFUSED -> admission.recordRefusal(now)
            ReplicaAttemptResult.ERROR, ReplicaAttemptResult.BROKEN -> admission.recordFailure(now)
            ReplicaAttemptResult.ABANDONED -> Unit
        }
    }

    /** Averages the time for which a request occupies a slot, without its estimated wait for requests ahead of it. */
    private fun recordSuccess(duration: Duration, ahead: Int) {
        admission.recordSuccess()
        val slots = maxOf(1, replica.slots)
        val service = duration * slots / maxOf(slots, ahead + 1)
        val average = averageServiceTime ?: service
        averageServiceTime = average + (service - average) * NEWEST_SAMPLE_WEIGHT
    }

    private fun totalLoad(now: MonotonicInstant): ReplicaLoad {
        var others = ReplicaLoad.NONE
        for (report in loadByHost.values) {
            if (now - report.receivedAt <= HOST_REPORT_VALIDITY) others += report.load
        }
        val newest = selfReportedLoad
        if (newest != null && now - newest.at <= SELF_REPORT_VALIDITY) others = others.copy(requests = newest.requests)
        return own + others
    }

    private fun isSilent(now: MonotonicInstant): Boolean {
        val since = awaitingBytesSince ?: return false
        return now - since > SILENCE_LIMIT
    }

    private fun isBefore(now: MonotonicInstant, until: MonotonicInstant?): Boolean = until != null && now < until

    private fun movingAverage(old: Double, sample: Double): Double = old + (sample - old) * NEWEST_SAMPLE_WEIGHT

    private companion object {
        /** Share of the memory that holds cached prompt parts not in use by running requests; from the users' sheet. */
        const val PREFIX_CACHE_SHARE = 0.6

        /** Weight of the newest sample in a moving average, which makes about the last ten samples count. */
        const val NEWEST_SAMPLE_WEIGHT = 0.15

        /** Age above which another host's report is ignored; four of its reporting intervals. */
        val HOST_REPORT_VALIDITY = 1.seconds

        /** Age up to which a self-reported load overrides the hosts' reports, which arrive four times a second. */
        val SELF_REPORT_VALIDITY = 150.milliseconds

        /** Time without a received byte, with requests in flight, after which no more requests are sent. */
        val SILENCE_LIMIT = 1.5.seconds

        val MINIMUM_PREDICTION = 30.milliseconds
        const val MINIMUM_SLOWNESS = 0.5
        const val MAXIMUM_SLOWNESS = 12.0
    }
}

/**
 * State of a replica at one moment, as a placement needs it.
 *
 * @property cachedTokens leading tokens of the request's prompt that are estimated to be cached.
 * @property averageServiceTime average time for which a request occupies a slot; null before the first response.
 * @property slowness average ratio of the actual to the predicted time to the first event.
 * @property restriction why it gets no new requests; null if it may get some.
 * @property canSendColdRequest whether the interval after the last request to the cold replica is over.
 */
public data class ReplicaSnapshot(
    public val replica: Replica,
    public val load: ReplicaLoad,
    public val tokenCapacity: Long,
    public val cachedTokens: Int,
    public val averageServiceTime: Duration?,
    public val slowness: Double,
    public val restriction: ReplicaRestriction?,
    public val isCold: Boolean,
    public val canSendColdRequest: Boolean,
) {
    /** Whether it gets no new requests, unless it is the only one and did not say so itself. */
    public val isUnavailable: Boolean get() = restriction != null

    /** Whether it wants no more requests, so that it gets none even if it is the only one. */
    public val isBarred: Boolean get() = restriction?.isBinding ?: false

    /** The average service time in milliseconds; [default] before the first response. */
    public fun averageServiceMilliseconds(default: Double): Double =
        averageServiceTime?.toDouble(DurationUnit.MILLISECONDS) ?: default
}
