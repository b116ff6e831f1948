package org.buckthornwheel.decision.replica

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Why a replica gets no new requests from this host.
 *
 * The pace of a cold replica, closed zones and quarantined content depend on the request or on other hosts, and are
 * applied where the request is placed.
 */
public sealed interface ReplicaRestriction {
    /** Name of the reason in log lines. */
    public val source: String

    /** Whether the replica said so in a response or is registered so, rather than this host presuming a failure. */
    public val isAnnouncement: Boolean get() = isBinding && this != ReturningFromPause

    /** Whether not even the only replica of a service is used, since the replica itself wants no more requests. */
    public val isBinding: Boolean get() = false

    /** It is registered as leaving. */
    public data object RegisteredAsLeaving : ReplicaRestriction {
        override val source: String get() = "registered as leaving"
        override val isBinding: Boolean get() = true
    }

    /** It announced in a response that it is leaving. */
    public data object AnnouncedLeaving : ReplicaRestriction {
        override val source: String get() = "announced leaving"
        override val isBinding: Boolean get() = true
    }

    /** It rejected a request and asked for a pause until [until]. */
    public data class Paused(public val until: MonotonicInstant) : ReplicaRestriction {
        override val source: String get() = "paused"
        override val isBinding: Boolean get() = true
    }

    /** Its pause has ended, and it has as many requests of this host as it may have at this moment. */
    public data object ReturningFromPause : ReplicaRestriction {
        override val source: String get() = "returning from a pause"
        override val isBinding: Boolean get() = true
    }

    /** It failed several times in a row. */
    public data object Ejected : ReplicaRestriction {
        override val source: String get() = "ejected"
    }

    /** It has just refused a request. */
    public data object Refused : ReplicaRestriction {
        override val source: String get() = "refused"
    }

    /** It has requests in progress and sends nothing. */
    public data object Silent : ReplicaRestriction {
        override val source: String get() = "silent"
    }
}

/**
 * Decides whether a replica may get new requests, from its registration, its responses, and its failures.
 *
 * The only place where these sources are combined. What the replica says of itself comes first, and neither a new
 * registration of the same run nor a successful response revokes it. Not thread-safe.
 */
internal class ReplicaAdmission {
    private var isLeaving = false
    private var presumedLeavingUntil: MonotonicInstant? = null
    private var pausedUntil: MonotonicInstant? = null
    private var pausedAtUnixMilliseconds: Long? = null
    private var failures = 0
    private var ejectedUntil: MonotonicInstant? = null
    private var refusedUntil: MonotonicInstant? = null

    /** The requests that the replica takes. */
    var requestLimit = ReplicaRequestLimit()
        private set

    /**
     * Forgets everything, since another run of the replica has started at [startedAt] in Unix milliseconds. A pause
     * that was asked for soon after that is kept: the registration of a new run can arrive after its first responses.
     */
    fun restart(startedAt: Long) {
        val isPauseOfNewRun =
            pausedAtUnixMilliseconds?.let { it - startedAt in 0..LATEST_REGISTRATION.inWholeMilliseconds } ?: false
        isLeaving = false
        presumedLeavingUntil = null
        if (!isPauseOfNewRun) pausedUntil = null
        requestLimit = ReplicaRequestLimit()
        failures = 0
        ejectedUntil = null
    }

    /** Records that the replica announced that it is leaving. */
    fun recordLeaving() {
        isLeaving = true
    }

    /** Records that the replica is presumed to be leaving until [until]. */
    fun presumeLeaving(until: MonotonicInstant) {
        presumedLeavingUntil = until
    }

    /** Records that the replica wants no requests for [pause]. A later and shorter pause does not end a longer one. */
    fun recordPause(pause: Duration, now: MonotonicInstant, unixMilliseconds: Long?) {
        if (pause <= Duration.ZERO) return
        val until = now + minOf(pause, MAXIMUM_PAUSE)
        if (isBefore(until, pausedUntil)) return
        pausedUntil = until
        pausedAtUnixMilliseconds = unixMilliseconds
    }

    /** Records a response that shows that the replica works. */
    fun recordSuccess() {
        failures = 0
    }

    /** Records that the replica refused a request. */
    fun recordRefusal(now: MonotonicInstant) {
        refusedUntil = now + REFUSAL_COOLDOWN
    }

    /** Records that the replica failed; several times in a row eject it for a while. */
    fun recordFailure(now: MonotonicInstant) {
        failures += 1
        if (failures >= FAILURES_TO_EJECT) {
            val doublings = minOf(failures - FAILURES_TO_EJECT, MAXIMUM_EJECTION_DOUBLINGS)
            ejectedUntil = now + BASE_EJECTION_TIME * (1 shl doublings)
        }
    }

    /**
     * Why [replica] gets no new request at [now]; null if it may. This host has [ownRequests] in progress there;
     * [isSilent] is whether it sends nothing although it has some.
     */
    fun restriction(
        replica: Replica,
        ownRequests: Int,
        isSilent: Boolean,
        now: MonotonicInstant,
    ): ReplicaRestriction? {
        val pauseEnd = pausedUntil
        return when {
            replica.isDraining -> ReplicaRestriction.RegisteredAsLeaving
            isLeaving || isBefore(now, presumedLeavingUntil) -> ReplicaRestriction.AnnouncedLeaving
            pauseEnd != null && now < pauseEnd -> ReplicaRestriction.Paused(pauseEnd)
            ownRequests >= returningRequests(replica, now) -> ReplicaRestriction.ReturningFromPause
            isBefore(now, ejectedUntil) -> ReplicaRestriction.Ejected
            isBefore(now, refusedUntil) -> ReplicaRestriction.Refused
            isSilent -> ReplicaRestriction.Silent
            else -> null
        }
    }

    /** The number of requests that this host may have at [replica] after a pause; it grows up to the slots. */
    private fun returningRequests(replica: Replica, now: MonotonicInstant): Int {
        val since = pausedUntil?.let { now - it } ?: return Int.MAX_VALUE
        if (since >= RETURN_TIME) return Int.MAX_VALUE
        return maxOf(1, (replica.slots * (since / RETURN_TIME)).toInt())
    }

    private fun isBefore(now: MonotonicInstant, until: MonotonicInstant?): Boolean = until != null && now < until

    private companion object {
        /** Consecutive failures that eject a replica; a single one may be caused by the request. */
        const val FAILURES_TO_EJECT = 3
        const val MAXIMUM_EJECTION_DOUBLINGS = 2

        /** Time of the first ejection; short, so that a recovered replica is soon used again. */
        val BASE_EJECTION_TIME = 1.seconds

        /** Cooldown after a refusal: a few batch steps, during which a slot becomes free. */
        val REFUSAL_COOLDOWN = 60.milliseconds

        /** A replica that asks for more is probably misconfigured; it would otherwise be lost until it restarts. */
        val MAXIMUM_PAUSE = 1.hours

        /** Longest time from the start of a run to its registration here, by a host without access to the store. */
        val LATEST_REGISTRATION = 1.minutes

        /** Time after a pause within which requests return gradually, so that those that waited do not refill it. */
        val RETURN_TIME = 1.seconds
    }
}
