package org.buckthornwheel.decision.replica

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.api.ZoneName
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds

/** The replicas that are registered, each with its own state and lock. */
public class ReplicaRegistry {
    private val states = ConcurrentHashMap<ReplicaId, ReplicaState>()

    @Volatile
    private var byService: Map<ServiceName, List<ReplicaState>> = emptyMap()

    /** Number of registered replicas. */
    public val size: Int get() = states.size

    /** Adds or changes [replica], which is cold until [coldUntil] if that is given. */
    public fun put(replica: Replica, tokenCapacity: Long, coldUntil: MonotonicInstant?) {
        val known = states[replica.id]
        val state = known ?: ReplicaState(replica, tokenCapacity).also { states[replica.id] = it }
        known?.register(replica, tokenCapacity)
        if (coldUntil != null) state.markColdUntil(coldUntil)
        index()
    }

    /**
     * Takes the replicas of [zone] as cold for [REPORTED_WITHIN] after [now], as the zone is open again.
     *
     * Nothing was sent to them meanwhile, and the registry may hold what they said before they became cold: the store
     * can bring the opening of the zone before the replicas' next entries, above all when it was away.
     */
    public fun markZoneCold(zone: ZoneName, now: MonotonicInstant) {
        for (state in states.values) if (state.current.zone == zone) state.markColdUntil(now + REPORTED_WITHIN)
    }

    /** Removes the replica [id]; requests in flight keep their state. */
    public fun remove(id: ReplicaId) {
        if (states.remove(id) != null) index()
    }

    /** The replicas of [service]. */
    public fun of(service: ServiceName): List<ReplicaState> = byService[service].orEmpty()

    /** The replica [id]; null if it is not registered. */
    public fun find(id: ReplicaId): ReplicaState? = states[id]

    /** All registered replicas. */
    public fun all(): Collection<ReplicaState> = states.values

    /** Takes over what [host] has in flight; replicas that [loads] does not name have nothing of it. */
    public fun recordHostLoads(host: HostName, loads: Map<ReplicaId, ReplicaLoad>, now: MonotonicInstant) {
        for ((id, state) in states) state.recordHostLoad(host, loads[id] ?: ReplicaLoad.NONE, now)
    }

    private fun index() {
        byService = states.values.groupBy { it.current.service }
    }

    private companion object {
        /** Replicas write every 1.2 s, and are back in the store within two seconds of its return (users' pages). */
        val REPORTED_WITHIN = 3.seconds
    }
}
