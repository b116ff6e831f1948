package org.buckthornwheel.forwarding.exchange

/** One attempt to have a target serve a request. */
internal interface Attempt {
    /** Ends the attempt and cancels the target's work on it. */
    fun cancel()

    /** Resumes or pauses reading from the target; reading is paused while the caller is slow. */
    fun setReading(reads: Boolean)
}
