package org.buckthornwheel.forwarding.limits

import io.netty.channel.Channel
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/** A connection that may be closed to make room for another one. */
internal interface EvictableConnection {
    /** What the connection is good for; null while it has a request in progress. Read on any thread. */
    val standing: ConnectionStanding?

    /** Time of the last progress. Read on any thread. */
    val lastProgress: MonotonicInstant

    /** Closes the connection unless a request is in progress by now. Called on any thread. */
    fun evict()
}

/** Standing of a connection without a request in progress, those first that are closed first. */
internal enum class ConnectionStanding {
    /** A request has begun to arrive, or the connection is about to be closed. */
    UNFINISHED,

    /** No request was read from it yet. */
    UNUSED,

    /** It waits for the next request. */
    IDLE,
}

/**
 * The open connections of a listener, at most [maximum] of them. The request of a caller follows a new connection
 * within [arrivalTime].
 *
 * If there are more, those that were without progress for longest are closed; if all have requests in progress, no more
 * are accepted until one closes.
 */
internal class ConnectionGroup<T : EvictableConnection>(
    private val maximum: Int,
    private val limits: LimitLog,
    private val arrivalTime: Duration,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
) {
    private val open: MutableSet<T> = ConcurrentHashMap.newKeySet()

    /** The channel of the listener. */
    @Volatile
    var listener: Channel? = null

    val size: Int get() = open.size

    fun opened(connection: T) {
        open += connection
        if (size <= maximum) return
        evictOldest(maximum / BATCH_SHARE)
        if (size >= maximum + TOLERANCE) listener?.config()?.isAutoRead = false
    }

    fun closed(connection: T) {
        open -= connection
        if (size <= maximum) listener?.config()?.takeUnless { it.isAutoRead }?.isAutoRead = true
    }

    /** Makes room again if all had requests in progress when the last ones were accepted; called from time to time. */
    fun relieve() {
        if (size > maximum) evictOldest(maximum / LARGE_BATCH_SHARE)
    }

    fun forEach(action: (T) -> Unit): Unit = open.forEach(action)

    /**
     * Closes [spare] connections more than it must, so that choosing them costs little for each. On the newest ones, a
     * request may be arriving.
     */
    private fun evictOldest(spare: Int) {
        val now = clock.now()
        val candidates = open.mapNotNull { connection -> connection.standing?.let { Candidate(connection, it) } }
            .filter { now - it.lastProgress >= arrivalTime }
        val oldest = candidates.sortedWith(compareBy({ it.standing }, { it.lastProgress }))
        oldest.take(size - maximum + spare).forEach {
            limits.record(Limit.CONNECTIONS)
            it.connection.evict()
        }
    }

    private inner class Candidate(val connection: T, val standing: ConnectionStanding) {
        /** As it is now, since it may change while the candidates are sorted. */
        val lastProgress: MonotonicInstant = connection.lastProgress
    }

    private companion object {
        /** Connections beyond the maximum that may wait for others to be closed. */
        const val TOLERANCE = 8
        const val BATCH_SHARE = 32
        const val LARGE_BATCH_SHARE = 4
    }
}
