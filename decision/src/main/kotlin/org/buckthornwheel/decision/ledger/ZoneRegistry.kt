package org.buckthornwheel.decision.ledger

import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toImmutableSet
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * The registered incarnations of this zone that this incarnation knows.
 *
 * An incarnation is removed only when it has certainly ended: it left after it had handed its keys over, or a later
 * incarnation has registered at its address. Missing answers and an expired lease do not prove that.
 */
public class ZoneRegistry(private val self: RegisteredHost) {
    private val lock = ReentrantLock()
    private val registered = HashMap<String, RegisteredHost>()
    private val departed = HashSet<RegisteredHost>()
    private var historyComplete = false

    /** Whether this incarnation is registered and has its complete action history, so that it may run actions. */
    public val hasCompleteHistory: Boolean get() = lock.withLock { historyComplete }

    /** Permits this incarnation to run actions from now on. */
    public fun markHistoryComplete(): Unit = lock.withLock { historyComplete = true }

    /** Adds [hosts], except those that have left or were replaced by a later incarnation at the same address. */
    public fun add(hosts: Collection<RegisteredHost>): Unit = lock.withLock { hosts.forEach(::addOne) }

    /**
     * Applies the platform's [list]: an incarnation that was [knownBefore] the list was read and is missing from it has
     * handed its keys over and left.
     */
    public fun refresh(knownBefore: Collection<RegisteredHost>, list: Collection<RegisteredHost>): Unit =
        lock.withLock {
            val left = knownBefore.filter { it !in list }
            departed.addAll(left)
            registered.values.removeAll(left.toSet())
            list.forEach(::addOne)
        }

    /** Removes [host], which has handed its keys over and left. */
    public fun remove(host: RegisteredHost): Unit = lock.withLock {
        departed.add(host)
        registered.remove(host.address, host)
    }

    /** Every registered incarnation but this one. */
    public fun others(): ImmutableSet<RegisteredHost> = lock.withLock { registered.values.toImmutableSet() }

    private fun addOne(host: RegisteredHost) {
        if (host == self || host.address == self.address || host in departed) return
        val known = registered[host.address]
        if (known == null || known.incarnation < host.incarnation) registered[host.address] = host
    }
}
