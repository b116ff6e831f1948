package org.buckthornwheel.forwarding.exchange

import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.decision.replica.SoftwareVersion

/** Why an attempt at [replica] or at the host [peer] failed after the request may have run. */
internal class AttemptFailure(val replica: ReplicaId?, val peer: String?, val reason: String)

/** One attempt to have a target serve a request. */
internal interface Attempt {
    /** The software version that serves the attempt; null if that is not known. */
    val version: SoftwareVersion?

    /** Ends the attempt and cancels the target's work on it. */
    fun cancel()

    /** Resumes or pauses reading from the target; reading is paused while the caller is slow. */
    fun setReading(reads: Boolean)
}
