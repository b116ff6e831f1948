package org.buckthornwheel.decision.account.share

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What the report of a host is worth. */
internal enum class ReportAge { NEWER, OUTDATED, FIRST_OF_INCARNATION }

/** Which hosts were heard when. Not thread-safe; one thread hears the hosts and ends the rounds. */
internal class HeardHosts {
    private class Heard(val incarnation: Incarnation, var sequence: Long, var at: MonotonicInstant)

    private val heard = HashMap<HostName, Heard>()

    private var reserved: Set<HostName> = emptySet()

    /** Part of the hosts that serve callers, this one included, that are silent and may be cut off. */
    var silentPart: Double = 0.0
        private set

    /** Updates the part of silent hosts, as of [view]. */
    fun update(view: SharersView, now: MonotonicInstant) {
        reserved = view.reserved
        heard.keys.removeIf { !isKept(it, now) }
        silentPart = view.others.count { isSilent(it, now) && mayServe(it, now) } / (view.others.size + 1.0)
    }

    /** Records a message of [host] with the report number [sequence]; null if it has no report. */
    fun record(host: HostName, incarnation: Incarnation, sequence: Long?, now: MonotonicInstant): ReportAge {
        val present = heard[host]
        if (present == null || present.incarnation < incarnation) {
            heard[host] = Heard(incarnation, sequence ?: Long.MIN_VALUE, now)
            return ReportAge.FIRST_OF_INCARNATION
        }
        if (present.incarnation > incarnation) return ReportAge.OUTDATED
        present.at = now
        if (sequence == null || sequence <= present.sequence) return ReportAge.OUTDATED
        present.sequence = sequence
        return ReportAge.NEWER
    }

    /** Time of the last message of [host]. */
    fun heardAt(host: HostName): MonotonicInstant = heard[host]?.at ?: MonotonicInstant(Long.MIN_VALUE)

    /** Whether [host] missed several messages. */
    fun isSilent(host: HostName, now: MonotonicInstant): Boolean = isOlder(host, SILENT_AFTER, now)

    /** Whether [host] may be serving callers. */
    fun mayServe(host: HostName, now: MonotonicInstant): Boolean = host in reserved || !isOlder(host, RESERVED_FOR, now)

    /** Whether the use of [host] is still kept. */
    fun isKept(host: HostName, now: MonotonicInstant): Boolean = host in reserved || !isOlder(host, KEPT_FOR, now)

    private fun isOlder(host: HostName, age: Duration, now: MonotonicInstant): Boolean =
        heard[host]?.let { now - it.at > age } ?: true

    private companion object {
        /** More than the longest interval between primary hosts and the way of a message. */
        val SILENT_AFTER = 750.milliseconds

        /** A host that is cut off from the store stops to serve accounts within 5 s; its last requests take a while. */
        val RESERVED_FOR = 6.seconds

        /** Time for which a silent host's counters are kept, so that a healed partition is counted once. */
        val KEPT_FOR = 120.seconds
    }
}
