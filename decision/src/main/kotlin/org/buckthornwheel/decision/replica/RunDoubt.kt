package org.buckthornwheel.decision.replica

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration.Companion.seconds

/**
 * Whether the known run of a replica may have ended, although its registration says nothing of that.
 *
 * Load pattern: a replica crashes and starts again under its identifier. Its new registration takes some hundred
 * milliseconds, or as long as the store is unavailable. Until then every host would use the new run, which is cold,
 * like the warm one before it. Not thread-safe.
 */
internal class RunDoubt {
    private var signAt: MonotonicInstant? = null
    private var until: MonotonicInstant? = null

    /** The later run that answered last; null if none did, or it did not say which it is. */
    private var laterRun: Long? = null
    private var laterRunWarmAt: MonotonicInstant? = null
    private var hasRestarted = false

    /** Whether there is a sign that no answer has explained. */
    val isUnanswered: Boolean get() = signAt != null

    /** Whether a later run has answered, and named itself, that is not registered yet. */
    val hasLaterRun: Boolean get() = hasRestarted

    /** Records a sign at [now] that the run has ended: its connections are lost, or it accepts none. */
    fun raise(now: MonotonicInstant) {
        signAt = now
        until = listOfNotNull(until, now + UNANSWERED_FOR).max()
    }

    /** Records that the run existed at [asOf]; returns whether that ends the doubt. */
    fun refute(asOf: MonotonicInstant): Boolean {
        val sign = signAt ?: return false
        if (asOf < sign) return false
        clear()
        return true
    }

    /**
     * Records that another run existed at [asOf], the one that started at [answering] if that is known. It has warmed
     * up at [warmAt], unless it answered before. Returns whether that explains all signs.
     */
    fun confirm(answering: Long?, asOf: MonotonicInstant, warmAt: MonotonicInstant): Boolean {
        if (answering == null || answering != laterRun) laterRunWarmAt = warmAt
        laterRun = answering
        if (answering != null) hasRestarted = true
        val sign = signAt
        if (sign != null && asOf < sign) return false
        signAt = null
        until = laterRunWarmAt
        return true
    }

    /** Forgets the doubt, since the run which started at [run] is registered, unless a later one has answered. */
    fun register(run: Long) {
        val answering = laterRun
        if (answering == null || answering <= run) clear()
    }

    private fun clear() {
        signAt = null
        until = null
        laterRun = null
        laterRunWarmAt = null
        hasRestarted = false
    }

    fun isRaised(now: MonotonicInstant): Boolean = until?.let { now < it } ?: false

    private companion object {
        /** Time without an answer after which the registration tells; three times that of a silent replica's end. */
        val UNANSWERED_FOR = 12.seconds
    }
}
