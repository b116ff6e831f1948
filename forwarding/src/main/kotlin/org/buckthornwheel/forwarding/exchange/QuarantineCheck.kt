package org.buckthornwheel.forwarding.exchange

import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.quarantine.QuarantineAdmission
import org.buckthornwheel.decision.quarantine.ReplicaRun
import org.buckthornwheel.forwarding.dialect.RequestMetadata
import org.buckthornwheel.forwarding.observability.LogPart

/** Applies the quarantine of prompt parts to one request, and records what its attempts reveal about the parts. */
internal class QuarantineCheck(private val context: ForwardingContext, private val metadata: RequestMetadata) {
    /** The prompt parts that other requests may share. */
    private val parts: List<String> = metadata.parts.dropLast(1).map { it.id }
    private var probedPart: String? = null

    /** Whether the request is a probe of a quarantined part, which is sent once and by this host only. */
    val isProbe: Boolean get() = probedPart != null

    /** Why the request must not be sent at [now]; null if it may be. */
    fun rejection(now: MonotonicInstant): QuarantineAdmission.Rejected? {
        if (parts.isEmpty() || isProbe) return null
        return when (val admission = context.quarantine.admit(parts, now) { context.hosts.mayProbe(it, now) }) {
            QuarantineAdmission.Admitted -> null
            is QuarantineAdmission.Rejected -> admission
            is QuarantineAdmission.Probe -> null.also { probedPart = admission.part }
        }
    }

    /** Whether the request may be sent again after its replica was lost. */
    fun permitsRetry(): Boolean = parts.isEmpty() || (!isProbe && context.quarantine.mayRetry(parts))

    /** Records that the request was sent to a replica. */
    fun recordSent(now: MonotonicInstant) {
        val part = probedPart ?: return
        context.quarantine.recordProbe(part, now)
        context.log.write(LogPart.QUARANTINE, "probe sent") {
            put("request", metadata.id.value)
            put("prompt-part", part)
        }
    }

    /** Records that a replica completed the request. */
    fun recordCompletion(now: MonotonicInstant) {
        if (parts.isNotEmpty()) context.quarantine.recordCompletion(parts, now)
    }

    /** Records the loss of the connection to [run]; [isCertain] is false if its response may have been complete. */
    fun recordLoss(run: ReplicaRun, isCertain: Boolean, now: MonotonicInstant) {
        if (metadata.parts.isNotEmpty()) context.quarantine.recordLoss(run, parts, isCertain, now)
    }
}
