package org.buckthornwheel.decision.quarantine

import org.buckthornwheel.api.MonotonicInstant

/** The last completion of a request with a suspected or quarantined [part]. */
public data class PartCompletion(public val part: String, public val at: MonotonicInstant)

/**
 * A prompt part whose requests are rejected.
 *
 * @property since time of the decision, or of the last probe.
 * @property probes number of requests that were sent to find out whether the part still crashes replicas.
 * @property nextProbeAt time from which the next probe may be sent.
 * @property requestedAt time of the last request with the part.
 */
public data class QuarantinedPart(
    public val part: String,
    public val since: MonotonicInstant,
    public val probes: Int,
    public val nextProbeAt: MonotonicInstant,
    public val requestedAt: MonotonicInstant,
)

/** What one host tells the others, in terms of its own clock. */
public data class QuarantineReport(
    public val crashes: List<ReplicaCrash>,
    public val completions: List<PartCompletion>,
    public val quarantined: List<QuarantinedPart>,
) {
    /** Whether there is nothing to tell. */
    public val isEmpty: Boolean get() = crashes.isEmpty() && completions.isEmpty() && quarantined.isEmpty()
}

/** Changes of the quarantine that callers of its functions log and act upon. */
public sealed interface QuarantineChange {
    /** The prompt part that is concerned. */
    public val part: String

    /** Requests with [part] are rejected from now on, because it crashed [runs]; empty if another host decided so. */
    public data class Quarantined(override val part: String, public val runs: List<ReplicaRun>) : QuarantineChange

    /** Requests with [part] are accepted again, because of a completed request or a long time without requests. */
    public data class Released(override val part: String) : QuarantineChange
}

/** Whether a request may be sent to a replica. */
public sealed interface QuarantineAdmission {
    /** It may be sent. */
    public data object Admitted : QuarantineAdmission

    /** It may be sent as the probe for [part]. */
    public data class Probe(public val part: String) : QuarantineAdmission

    /** It is rejected because of [part]; no request with it is sent before [retryAt]. */
    public data class Rejected(public val part: String, public val retryAt: MonotonicInstant) : QuarantineAdmission
}
