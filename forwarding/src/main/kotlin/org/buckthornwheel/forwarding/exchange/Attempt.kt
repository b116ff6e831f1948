package org.buckthornwheel.forwarding.exchange

/** One sending of a request to a target. */
internal interface Attempt {
    /** Ends it, and the target's work on it. */
    fun cancel()

    /** Reads from the target, or pauses while the caller is slow. */
    fun setReading(reads: Boolean)
}
