package org.buckthornwheel.forwarding.exchange

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.shutdown.ShutdownAdmission
import org.buckthornwheel.decision.shutdown.ShutdownRequest
import org.buckthornwheel.forwarding.dialect.RequestMetadata

/** Whether the host is stopping, and which requests it still takes then. */
internal class HostShutdown {
    @Volatile
    private var admission: ShutdownAdmission? = null

    /** Whether the host has begun to stop. */
    val hasBegun: Boolean get() = admission != null

    /** The host stops; from now on [rules] hold. */
    fun begin(rules: ShutdownAdmission) {
        admission = rules
    }

    /** Whether the host takes a request of [facts] under [terms] that arrived at [now]. */
    fun admits(policy: RequestPolicy, metadata: RequestMetadata, now: MonotonicInstant): Boolean {
        val rules = admission ?: return true
        return rules.admits(ShutdownRequest(policy.targetLatency, metadata.outputTokens, policy.deadline - now), now)
    }
}
