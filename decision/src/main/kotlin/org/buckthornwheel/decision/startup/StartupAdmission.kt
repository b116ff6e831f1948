package org.buckthornwheel.decision.startup

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides whether a request waits for the manifest of a host that has just started.
 *
 * Load pattern: all hosts lose power at once, and callers connect again as soon as the listeners are open. A host far
 * from the store learns the manifest a few hundred milliseconds later. A caller that is rejected meanwhile has to
 * connect again, often to a host in the same state; one that waits is served as soon as the manifest arrives. A host
 * that still knows none after [MAXIMUM_WAIT] cannot reach the store, and rejects requests at once.
 *
 * @param startedAt time at which the host opened its listeners.
 */
public class StartupAdmission(private val startedAt: MonotonicInstant) {
    /** Whether a request that needs the manifest may wait for it at [now]. */
    public fun mayWait(now: MonotonicInstant): Boolean = now - startedAt < MAXIMUM_WAIT

    /** Limits. */
    public companion object {
        /**
         * Time after the start until which requests wait: two round trips between regions (110 ms each, users' sheets)
         * to connect to the store and to list its items, while the processor is busy with the start of the program.
         */
        public val MAXIMUM_WAIT: Duration = 600.milliseconds
    }
}
