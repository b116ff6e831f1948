package org.buckthornwheel.decision.replica

/**
 * Keeps the states of replicas whose registrations ended, the newest ones.
 *
 * A run of a replica that is registered again continues with its state: what requests in progress learn of it while it
 * is not registered would otherwise be lost. Thread-safe.
 */
internal class RemovedReplicas {
    private val states = LinkedHashMap<ReplicaId, ReplicaState>()

    @Synchronized
    fun add(id: ReplicaId, state: ReplicaState) {
        states[id] = state
        if (states.size > MAXIMUM_REPLICAS) states.remove(states.keys.first())
    }

    @Synchronized
    fun take(id: ReplicaId): ReplicaState? = states.remove(id)

    private companion object {
        /** Limit on memory. */
        const val MAXIMUM_REPLICAS = 256
    }
}
