package org.buckthornwheel.standins.platform

import kotlinx.coroutines.flow.MutableSharedFlow
import java.util.TreeMap
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** A stored value with the store versions at which it was created and last written. */
internal data class Entry(
    val key: String,
    val value: String,
    val createVersion: Long,
    val modificationVersion: Long,
    val lease: Long,
)

/** A change of an entry: the entry as written, or as it was before its deletion if [deleted]. */
internal data class Change(val entry: Entry, val version: Long, val deleted: Boolean)

/**
 * The state of the key-value service: a version counter, entries, leases and the history of changes.
 *
 * Keys are ordered by their bytes, as decoded from Base64.
 */
internal class KeyValueState(private val nowMilliseconds: () -> Long) {
    private val lock = ReentrantLock()
    private val entries = TreeMap<String, Entry>()
    private val history = ArrayList<Change>()
    private val leases = HashMap<Long, Lease>()
    private var nextLeaseId = 1L
    private var version = 1L

    /** Emits after every change; watchers then read the new changes from the history. */
    val changed: MutableSharedFlow<Unit> = MutableSharedFlow(replay = 1, extraBufferCapacity = 1)

    fun currentVersion(): Long = lock.withLock { version }

    fun range(from: String, until: String?, limit: Int): List<Entry> = lock.withLock {
        revokeExpiredLeases()
        val selected = if (until == null) entries.subMap(from, true, from, true) else entries.subMap(from, until)
        selected.values.take(limit)
    }

    /** Runs [block] atomically. */
    fun <Result> transaction(block: KeyValueState.() -> Result): Result = lock.withLock {
        revokeExpiredLeases()
        block()
    }

    fun put(key: String, value: String, lease: Long) {
        version += 1
        val createVersion = entries[key]?.createVersion ?: version
        val entry = Entry(key, value, createVersion, version, lease)
        entries[key] = entry
        record(Change(entry, version, deleted = false))
    }

    fun delete(key: String) {
        val entry = entries.remove(key) ?: return
        version += 1
        record(Change(entry, version, deleted = true))
    }

    fun entry(key: String): Entry? = entries[key]

    fun changesSince(from: Long): List<Change> = lock.withLock {
        revokeExpiredLeases()
        history.filter { it.version >= from }
    }

    fun grant(seconds: Long): Long = lock.withLock {
        val id = nextLeaseId++
        leases[id] = Lease(seconds, nowMilliseconds() + seconds * MILLISECONDS_PER_SECOND)
        id
    }

    fun keepAlive(id: Long): Long = lock.withLock {
        revokeExpiredLeases()
        val lease = leases[id] ?: return 0
        leases[id] = lease.copy(expiresAtMilliseconds = nowMilliseconds() + lease.seconds * MILLISECONDS_PER_SECOND)
        lease.seconds
    }

    fun revoke(id: Long): Unit = lock.withLock { removeLease(id) }

    private fun revokeExpiredLeases() {
        val now = nowMilliseconds()
        leases.filterValues { it.expiresAtMilliseconds <= now }.keys.toList().forEach { removeLease(it) }
    }

    private fun removeLease(id: Long) {
        leases.remove(id)
        entries.values.filter { it.lease == id }.map { it.key }.forEach { delete(it) }
    }

    private fun record(change: Change) {
        history.add(change)
        changed.tryEmit(Unit)
    }

    private data class Lease(val seconds: Long, val expiresAtMilliseconds: Long)

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L
    }
}
