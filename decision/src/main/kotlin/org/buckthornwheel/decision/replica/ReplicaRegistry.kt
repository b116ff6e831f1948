package org.buckthornwheel.decision.replica

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.quarantine.ReplicaRun
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds

/** Holds the registered replicas, each with its own state and lock. */
public class ReplicaRegistry {
    private val states = ConcurrentHashMap<ReplicaId, ReplicaState>()

    private val leaving = LeavingReplicas()

    /** Replicas whose registration ended; the same run may be registered again, and attempts still refer to it. */
    private val removed = RemovedReplicas()

    @Volatile
    private var byService: Map<ServiceName, List<ReplicaState>> = emptyMap()

    /** Whether a replica has reported that other work on its machine slows it down at times. */
    @Volatile
    public var shareMachines: Boolean = false
        private set

    /** Records that a replica has reported that it shares its machine with other work. */
    public fun recordSharedMachine() {
        if (!shareMachines) shareMachines = true
    }

    /** Number of registered replicas. */
    public val size: Int get() = states.size

    /** Adds or updates [replica] and marks it as cold until [coldUntil], if given. */
    public fun put(replica: Replica, tokenCapacity: Long, coldUntil: MonotonicInstant?) {
        val state = states[replica.id] ?: stateAfterRemoval(replica, tokenCapacity)
        state.register(replica, tokenCapacity, coldUntil)
        states[replica.id] = state
        applyLeaving(state)
        rebuildIndex()
    }

    /**
     * The state of [replica], which continues if its registration ended and the same run is registered again. Another
     * run continues with the coldness alone: requests may have been sent to it already.
     */
    private fun stateAfterRemoval(replica: Replica, tokenCapacity: Long): ReplicaState {
        val earlier = removed.take(replica.id) ?: return ReplicaState(replica, tokenCapacity)
        if (earlier.current.startedAt == replica.startedAt) return earlier
        return ReplicaState(replica, tokenCapacity, earlier.coldness)
    }

    /** A run that is registered as leaving does not return, although its registration may say ready again. */
    private fun applyLeaving(state: ReplicaState) {
        val replica = state.current
        val run = ReplicaRun(replica.id, replica.startedAt)
        if (replica.isDraining && replica.startedAt != Replica.UNKNOWN_START) leaving.add(run, at = null)
        if (run in leaving) state.recordLeaving(run.startedAt)
        leaving.presumedUntil(run)?.let { state.presumeLeaving(run.startedAt, it) }
    }

    /**
     * Marks the replicas of [zone] as cold for [REOPENED_ZONE_COLD_TIME] after [now], since the zone was reopened.
     *
     * While the zone was closed, no requests were sent to them, and their last known registrations may date from before
     * they became cold: the store can deliver the reopening of the zone before the replicas' next entries, above all
     * after the store was unavailable.
     */
    public fun markZoneCold(zone: ZoneName, now: MonotonicInstant) {
        states.values.filter { it.current.zone == zone }
            .forEach { it.coldness.markUntil(now + REOPENED_ZONE_COLD_TIME) }
    }

    /** Removes the replica [id]; requests in progress keep a reference to its state. */
    public fun remove(id: ReplicaId) {
        val state = states.remove(id) ?: return
        removed.add(id, state)
        rebuildIndex()
    }

    /**
     * Records that [run] announced that it is leaving, to this host at [at], in Unix milliseconds at
     * [unixMilliseconds], or to another one if these are null. Returns false if it was known.
     */
    public fun recordLeaving(run: ReplicaRun, at: MonotonicInstant?, unixMilliseconds: Long? = null): Boolean {
        val isNew = leaving.add(run, at, unixMilliseconds)
        if (isNew) states[run.replica]?.let(::applyLeaving)
        return isNew
    }

    /** The runs whose announcement other hosts should know at [now]. */
    public fun leavingToReport(now: MonotonicInstant): List<ReplicaRun> = leaving.toReport(now)

    /** Whether idle connections to the replica [id] are of no use, since it announced that it is leaving. */
    public fun isLeaving(id: ReplicaId): Boolean {
        val current = states[id]?.current ?: return false
        return current.isDraining || ReplicaRun(id, current.startedAt) in leaving
    }

    /** The states of the replicas of [service]. */
    public fun of(service: ServiceName): List<ReplicaState> = byService[service].orEmpty()

    /** The state of the replica [id]; null if it is not registered. */
    public fun find(id: ReplicaId): ReplicaState? = states[id]

    /** Whether [run] is registered: its replica is, and has not been started again. */
    public fun isRegistered(run: ReplicaRun): Boolean = states[run.replica]?.current?.startedAt == run.startedAt

    /** The states of all registered replicas. */
    public fun all(): Collection<ReplicaState> = states.values

    /** Records the complete load of [host]: replicas missing from [loads] have no requests of that host. */
    public fun recordHostLoads(host: HostName, loads: Map<ReplicaId, ReplicaLoad>, now: MonotonicInstant) {
        for ((id, state) in states) state.recordHostLoad(host, loads[id] ?: ReplicaLoad.NONE, now)
    }

    private fun rebuildIndex() {
        byService = states.values.groupBy { it.current.service }
    }

    private companion object {
        /** Replicas renew their entries every 1.2 s, and within two seconds of a store recovery (users' pages). */
        val REOPENED_ZONE_COLD_TIME = 3.seconds
    }
}
