package org.buckthornwheel.decision.ledger

import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toImmutableSet
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * The registered incarnations of the own zone, as this one knows them.
 *
 * An incarnation leaves the register only on certain knowledge: it said goodbye after it had handed its keys over,
 * or a later incarnation has registered at its address. Silence and a lapsed lease are no such knowledge.
 */
public class ZoneRegistry(private val self: RegisteredHost) {
    private val lock = ReentrantLock()
    private val registered = HashMap<String, RegisteredHost>()
    private val departed = HashSet<RegisteredHost>()
    private var whole = false

    /** Whether this incarnation has registered and remembers all that it has to, so that it may run actions. */
    public val hasCompleteHistory: Boolean get() = lock.withLock { whole }

    /** From now on this incarnation may run actions. */
    public fun markHistoryComplete(): Unit = lock.withLock { whole = true }

    /** Adds [hosts], each unless it has departed or a later incarnation stands at its address. */
    public fun add(hosts: Collection<RegisteredHost>): Unit = lock.withLock { hosts.forEach(::addOne) }

    /**
     * Takes in the platform's own [list]: whoever was [knownBefore] the list was read and is not on it has left and
     * handed its keys over.
     */
    public fun refresh(knownBefore: Collection<RegisteredHost>, list: Collection<RegisteredHost>): Unit =
        lock.withLock {
            val left = knownBefore.filter { it !in list }
            departed.addAll(left)
            registered.values.removeAll(left.toSet())
            list.forEach(::addOne)
        }

    /** [host] has handed its keys over and gone. */
    public fun depart(host: RegisteredHost): Unit = lock.withLock {
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
