package org.buckthornwheel.decision.replica

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.quarantine.ReplicaRun
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * State of one replica as known to this host, guarded by its own lock.
 *
 * Consists of the registration, the load in flight, the health derived from responses, and the pace of requests to a
 * cold replica.
 *
 * @param tokenCapacity number of tokens that fit into the replica's memory; 0 if the replica is not an engine.
 * @property coldness whether the replica is cold, or may be.
 */
public class ReplicaState(
    registered: Replica,
    private var tokenCapacity: Long,
    public val coldness: ReplicaColdness = ReplicaColdness(registered.startedAt),
) {
    private val lock = Any()
    private var replica = registered
    private var own = ReplicaLoad.NONE
    private val loadByHost = HashMap<HostName, HostReport>()
    private var cache = PromptCache((tokenCapacity * PREFIX_CACHE_SHARE).toLong())
    private var averageServiceTime: Duration? = null
    private var slowness = 1.0
    private val admission = ReplicaAdmission()
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
     * Applies a changed registration, by which the replica is cold until [coldUntil] unless it is known to be cold for
     * longer. After a restart of the replica, its cache is empty and its health unknown.
     */
    public fun register(changed: Replica, capacity: Long, coldUntil: MonotonicInstant? = null): Unit =
        synchronized(lock) {
            if (capacity != tokenCapacity) {
                tokenCapacity = capacity
                cache = PromptCache((capacity * PREFIX_CACHE_SHARE).toLong())
            }
            if (changed.startedAt != replica.startedAt) {
                cache.clear()
                admission.restart(changed.startedAt)
                slowness = 1.0
            }
            replica = changed
            coldness.register(changed.startedAt, coldUntil)
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
            isCold = coldness.isCold(now),
            canSendColdRequest = coldness.permitsRequest(now),
            isRunCertain = coldness.isRunCertain(replica.startedAt, now),
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
        coldness.takeRequest(coldRequestInterval, now)
    }

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
