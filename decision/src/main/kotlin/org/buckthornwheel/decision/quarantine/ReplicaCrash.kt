package org.buckthornwheel.decision.quarantine

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.replica.ReplicaId

/** One run of a replica; [startedAt] (Unix milliseconds) distinguishes runs under the same identifier. */
public data class ReplicaRun(public val replica: ReplicaId, public val startedAt: Long)

/**
 * The presumed crash of a replica, as far as it is known from lost connections.
 *
 * @property isConfirmed whether the replica itself failed, rather than one connection to it.
 * @property suspects shared prompt parts of the requests that were in progress at the replica, with their positions in
 *   the prompt.
 */
public data class ReplicaCrash(
    public val run: ReplicaRun,
    public val at: MonotonicInstant,
    public val isConfirmed: Boolean,
    public val suspects: Map<String, Int>,
)
