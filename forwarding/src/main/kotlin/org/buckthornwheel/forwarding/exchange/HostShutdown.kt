package org.buckthornwheel.forwarding.exchange

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.shutdown.ShutdownAdmission
import org.buckthornwheel.decision.shutdown.ShutdownRequest
import org.buckthornwheel.forwarding.dialect.RequestMetadata

/** Tracks whether the host is shutting down, and which requests it still admits in that case. */
internal class HostShutdown {
    @Volatile
    private var admission: ShutdownAdmission? = null

    /** Whether the shutdown has begun. */
    val hasBegun: Boolean get() = admission != null

    /** Whether the host itself ends: requests in progress get their final responses, and none is placed any more. */
    @Volatile
    var isEnding: Boolean = false
        private set

    /** Called before the requests in progress are ended. */
    fun end() {
        isEnding = true
    }

    /** Begins the shutdown; from now on [rules] decide which requests are admitted. */
    fun begin(rules: ShutdownAdmission) {
        admission = rules
    }

    /** Whether the host admits a request with [metadata] and [policy] that arrived at [now]. */
    fun admits(policy: RequestPolicy, metadata: RequestMetadata, now: MonotonicInstant): Boolean {
        val rules = admission ?: return true
        val remaining = policy.deadline - now
        return rules.admits(
            ShutdownRequest(policy.targetLatency, metadata.outputTokens, remaining, policy.isStreaming),
            now,
        )
    }
}
