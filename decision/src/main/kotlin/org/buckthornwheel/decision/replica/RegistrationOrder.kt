package org.buckthornwheel.decision.replica

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Recognizes registrations of replicas that are older than one that was read before.
 *
 * A replica's write to the store may be executed after its later ones, and after its registration was removed. Not
 * thread-safe.
 */
public class RegistrationOrder {
    /**
     * The newest registration of a replica, read at [at].
     *
     * @property isGone whether it was removed.
     * @property isPast whether it was removed before the registrations became older ones, so that it is no return.
     */
    private data class Newest(
        val startedAt: Long,
        val sequence: Long?,
        val at: MonotonicInstant,
        val isGone: Boolean = false,
        val isPast: Boolean = false,
    )

    private val newest = LinkedHashMap<ReplicaId, Newest>()

    /** Whether [replica], read at [now], is not older than what was read before; if so, it is remembered. */
    public fun admit(replica: Replica, now: MonotonicInstant): Boolean {
        val known = newest.remove(replica.id)
        if (known != null && now - known.at <= REMEMBERED_FOR && isOlder(replica, known)) {
            newest[replica.id] = known
            return false
        }
        newest[replica.id] = Newest(replica.startedAt, replica.sequence, now)
        if (newest.size > MAXIMUM_REPLICAS) newest.remove(newest.keys.first())
        return true
    }

    /** Records that the registration of [replica] was removed. */
    public fun recordGone(replica: ReplicaId) {
        newest.computeIfPresent(replica) { _, known -> known.copy(isGone = true) }
    }

    /** Records that the registrations that are read from [now] on may be those of an earlier time. */
    public fun recordReturn(now: MonotonicInstant): Unit =
        newest.replaceAll { _, known -> known.copy(at = now, isPast = known.isGone) }

    private fun isOlder(replica: Replica, known: Newest): Boolean = when {
        replica.startedAt != known.startedAt -> replica.startedAt < known.startedAt
        replica.startedAt == Replica.UNKNOWN_START -> false
        replica.sequence == null || known.sequence == null -> false
        else -> replica.sequence < known.sequence || (known.isPast && replica.sequence == known.sequence)
    }

    /** Limits. */
    public companion object {
        /** Longer than a write is late; a replica whose clock was set back is not ignored for longer. */
        public val REMEMBERED_FOR: Duration = 10.seconds

        /** As many replicas as a large deployment has. */
        private const val MAXIMUM_REPLICAS = 1_024
    }
}
