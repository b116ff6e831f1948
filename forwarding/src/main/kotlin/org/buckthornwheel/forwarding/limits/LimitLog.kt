package org.buckthornwheel.forwarding.limits

import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.forwarding.observability.DecisionLog
import org.buckthornwheel.forwarding.observability.LogPart
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.seconds

/** A limit on which a request is refused or a connection closed; [title] is its name in logs and metrics. */
internal enum class Limit(val title: String) {
    BODY_LENGTH("body_length"),
    BODY_MEMORY("body_memory"),
    HEAD_MEMORY("head_memory"),
    SLOW_REQUEST("slow_request"),
    UNREAD_RESPONSE("unread_response"),
    CONNECTIONS("connections"),
}

/** Counts how often each limit acts, and writes at most one line a second for each. */
internal class LimitLog(private val log: DecisionLog, private val clock: MonotonicClock = MonotonicClock.SYSTEM) {
    private class Entry {
        val count = AtomicLong()
        var loggedAt: MonotonicInstant? = null
    }

    private val entries = Limit.entries.associateWith { Entry() }

    /** Number of times that [limit] has acted. */
    fun count(limit: Limit): Long = entries.getValue(limit).count.get()

    /** Records that [limit] has acted. */
    fun record(limit: Limit) {
        val entry = entries.getValue(limit)
        val count = entry.count.incrementAndGet()
        val now = clock.now()
        val mustLog = synchronized(entry) {
            (entry.loggedAt?.let { now - it >= LOG_INTERVAL } ?: true).also { if (it) entry.loggedAt = now }
        }
        if (!mustLog) return
        log.write(LogPart.HOST, "limit reached") {
            put("limit", limit.title)
            put("count", count)
        }
    }

    private companion object {
        val LOG_INTERVAL = 1.seconds
    }
}
